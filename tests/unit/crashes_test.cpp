// Workers that crash under a subtask: who is blamed, how the suspects run again, and what lasts over faults of the owner.
#include "scheduling/crashes.hpp"

#include "jobs/codec.hpp"
#include "shards/rows.hpp"
#include "unit/jobcluster.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};
constexpr Millis recoveryTime{40'000};

CrashRecord crash(const std::string &worker, Suspicion suspicion, bool confirmed = true)
{
    return {.workerId = worker, .workerStartedAt = 5, .suspicion = suspicion, .confirmed = confirmed};
}

SubtaskId subtaskOf(int job, int index = 0)
{
    return {jobId(job), 0, 0, index};
}

/// Crashes recorded with a subtask of a job of the cluster, by the record in the store.
std::vector<CrashRecord> recordedCrashes(const JobCluster &cluster, const JobSpec &spec, int index = 0)
{
    const auto record = decodeRecord(spec, cluster.store.value(progressKey("pool", spec.id)));
    REQUIRE(record);
    return record->occurrences[0][0][static_cast<std::size_t>(index)].crashes;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string out;
    for (const auto &it : lines) {
        out += it + "\n";
    }
    return out;
}

} // namespace

namespace
{

constexpr LostRun freshRun{.started = true, .recentlyStarted = true, .crashedAtOnce = true};
constexpr LostRun freshSuspect{.isSuspect = true, .started = true, .recentlyStarted = true, .crashedAtOnce = true};
constexpr LostRun olderRun{.started = true};

} // namespace

TEST_CASE("a crash makes suspects of the recent starts only")
{
    const auto result = attributeCrash(std::vector{freshRun, olderRun, LostRun{.isSuspect = true, .started = true}});
    CHECK(result[0] == Suspicion::RecentStart);
    CHECK_FALSE(result[1]);
    CHECK_FALSE(result[2]);
}

TEST_CASE("a suspect is proven to be the cause only if nothing else was started with it and its worker crashed at once")
{
    CHECK(attributeCrash(std::vector{freshSuspect, olderRun})[0] == Suspicion::SoleSuspect);
    CHECK(attributeCrash(std::vector{LostRun{.isSuspect = true, .started = true, .recentlyStarted = true}})[0] == Suspicion::RecentStart);
    CHECK(attributeCrash(std::vector{freshRun})[0] == Suspicion::RecentStart);
    const auto together = attributeCrash(std::vector{freshRun, freshSuspect});
    CHECK(together[0] == Suspicion::RecentStart);
    CHECK(together[1] == Suspicion::RecentStart);
}

TEST_CASE("a crash of a worker that may not have started the subtask proves nothing")
{
    auto unanswered = freshSuspect;
    unanswered.started = false;
    CHECK(attributeCrash(std::vector{unanswered})[0] == Suspicion::PossibleStart);
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", Suspicion::PossibleStart), crash("b", Suspicion::SoleSuspect)}));
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", Suspicion::PossibleStart), crash("b", Suspicion::PossibleStart)}));
}

TEST_CASE("a subtask is given up after two crashes if it is proven to be the cause, and otherwise before three starts after the third")
{
    const auto recent = Suspicion::RecentStart;
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", recent)}));
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", recent), crash("b", recent)}));
    CHECK(mustGiveUp(std::vector{crash("a", recent), crash("b", Suspicion::SoleSuspect)}));
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", recent), crash("b", Suspicion::SoleSuspect, false)}));
    CHECK_FALSE(mustGiveUp(std::vector{crash("a", recent, false), crash("b", Suspicion::SoleSuspect)}));
    std::vector<CrashRecord> crashes;
    for (const auto *const it : {"a", "b", "c", "d"}) {
        CHECK_FALSE(mustGiveUp(crashes));
        crashes.push_back(crash(it, recent));
    }
    CHECK(mustGiveUp(crashes));
}

TEST_CASE("the loss of a rack is not attributed to a subtask")
{
    const WorkerLoss loss{.rack = "r1", .at = {10'000}, .hadRecentStart = true};
    const auto other = [](const char *rack, std::int64_t at, bool recent) {
        return std::vector<WorkerLoss>{{.rack = rack, .at = {at}, .hadRecentStart = recent}};
    };
    CHECK_FALSE(isRackLoss(loss, {}));
    CHECK(isRackLoss(loss, other("r1", 10'300, false)));
    CHECK_FALSE(isRackLoss(loss, other("r1", 10'300, true)));
    CHECK_FALSE(isRackLoss(loss, other("r2", 10'300, false)));
    CHECK_FALSE(isRackLoss(loss, other("r1", 11'000, false)));
}

TEST_CASE("crashes of one VM prove nothing against a subtask, whatever its workers are called")
{
    const auto recent = Suspicion::RecentStart;
    const auto onVm = [](const std::string &worker, const std::string &vm, Suspicion suspicion) {
        auto record = crash(worker, suspicion);
        record.vm = vm;
        return record;
    };
    std::vector<CrashRecord> crashes{onVm("a", "vm-1", recent), onVm("a", "vm-1", Suspicion::SoleSuspect)};
    CHECK_FALSE(mustGiveUp(crashes));
    crashes.push_back(onVm("b", "vm-1", Suspicion::SoleSuspect));
    CHECK_FALSE(mustGiveUp(crashes));
    CHECK(mustGiveUp(std::vector{crashes[0], onVm("c", "vm-2", Suspicion::SoleSuspect)}));
    // A subtask that has only one VM to run on is not started without end.
    crashes.push_back(onVm("d", "vm-1", recent));
    CHECK(mustGiveUp(crashes));
    CHECK(hasCrashed(crashes, "e", "vm-1"));
    CHECK(hasCrashed(std::vector{crash("a", recent)}, "a", "vm-1"));
    CHECK_FALSE(hasCrashed(std::vector{crash("a", recent)}, "b", ""));
}

TEST_CASE("a VM that crashes again and again fails no job that is started on it")
{
    // Guards against a job that is shown as failed although only its VM was at fault.
    JobCluster cluster(1, 6);
    cluster.workers.crashKeepsId = GENERATE(true, false);
    CAPTURE(cluster.workers.crashKeepsId);
    cluster.workers.crashDownTime = {1'000};
    std::string current = "w0";
    cluster.workers.replaced = [&](const WorkerRegistration &it) {
        cluster.registerWorker(it);
        current = it.id;
    };
    cluster.loop.advance(startupTime);
    auto step = makeStep(4, 2'000, {600});
    step.longRunning = true;
    step.maxPerWorker = 1;
    cluster.submit("e0", makeJob(jobId(1), {step}));
    Millis lastStart;
    for (int i = 0; i < 3'000; ++i) {
        cluster.loop.advance({10});
        if (const auto startedAt = cluster.workers.lastStarts[current]; startedAt > lastStart && cluster.workers.crashes < 3) {
            lastStart = startedAt;
            cluster.loop.advance({100});
            cluster.workers.crash(current);
        }
    }
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Running);
    CHECK(cluster.workers.runningOf(jobId(1)) == 4);
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("crashes are stored with the job, and records of earlier versions are read")
{
    const auto spec = makeJob(jobId(1), {makeStep(2, 1'000, {100})});
    auto record = emptyRecord(spec);
    record.phase = JobPhase::Failed;
    record.failureReason = "subtask crashed 2 workers";
    record.occurrences[0][0][1].crashes = {crash("w1", Suspicion::SoleSuspect), crash("w2", Suspicion::RecentStart, false)};
    record.occurrences[0][0][1].crashes[1].vm = "vm-2";
    CHECK(decodeRecord(spec, encodeRecord(record)) == record);
    const auto old = decodeRecord(spec, R"([1,0,[[[[0,[1],2,"",[[2,"w1",5]]],0]]]])");
    REQUIRE(old);
    CHECK(old->occurrences[0][0][0].crashes.empty());
    CHECK(old->failureReason.empty());
    CHECK_FALSE(decodeRecord(spec, R"([1,0,[[[[0,[1],2,"",[],[["w1"]]],0]]]])"));
}

TEST_CASE("a subtask that crashes its workers fails its job soon, and the jobs beside it complete")
{
    const auto keepsId = GENERATE(false, true);
    const auto fault = GENERATE(std::string("none"), std::string("owner killed"), std::string("all killed"), std::string("handed over"));
    CAPTURE(keepsId, fault);
    JobCluster cluster(3, 4);
    cluster.workers.crashKeepsId = keepsId;
    cluster.loop.advance(startupTime);
    cluster.workers.deadly = {subtaskOf(1, 2)};
    cluster.submit("e0", makeJob(jobId(1), {makeStep(4, 500, {600})}));
    for (int i = 2; i <= 12; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(4, 500, {600})}));
    }
    for (int i = 0; i < 12; ++i) {
        cluster.loop.advance({1'000});
        const auto owner = cluster.owner();
        if (i % 4 == 1 && fault == "owner killed" && !owner.empty()) {
            cluster.killEntry(owner);
            cluster.startEntry(owner);
        } else if (i % 4 == 1 && fault == "all killed") {
            for (const auto &it : cluster.names) {
                cluster.killEntry(it);
            }
            cluster.loop.advance({500});
            for (const auto &it : cluster.names) {
                cluster.startEntry(it);
            }
        } else if (i % 2 == 1 && fault == "handed over" && !owner.empty()) {
            cluster.requestShard(owner == "e1" ? "e2" : "e1");
        }
    }
    cluster.loop.advance(recoveryTime);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    for (int i = 2; i <= 12; ++i) {
        CAPTURE(i);
        CHECK(cluster.phaseOf(jobId(i)) == JobPhase::Completed);
    }
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
    // Five starts are allowed, and the cause is not started again after its fourth crash.
    CHECK(cluster.workers.crashes <= 4);
}

TEST_CASE("the reason of a job that failed by its crashes is recorded for its caller")
{
    JobCluster cluster(1, 3);
    cluster.loop.advance(startupTime);
    const auto spec = makeJob(jobId(1), {makeStep(1, 500, {600})});
    cluster.workers.deadly = {subtaskOf(1)};
    cluster.submit("e0", spec);
    cluster.loop.advance(recoveryTime);
    REQUIRE(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    CHECK(cluster.workers.crashes == 2);
    const auto answer = cluster.readState("e0", jobId(1));
    CHECK(answer.phase == JobPhase::Failed);
    CHECK(answer.reason == "subtask " + jobId(1) + ".0.0.0 crashed 2 workers");
}

TEST_CASE("the neighbours of a suspect are few, so that its second crash loses little")
{
    JobCluster cluster(1, 4);
    cluster.loop.advance(startupTime);
    cluster.workers.deadly = {subtaskOf(1)};
    cluster.submit("e0", makeJob(jobId(1), {makeStep(1, 500, {600})}));
    for (int i = 2; i < 400; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(2, 500, {600})}));
        cluster.loop.advance({50});
    }
    cluster.loop.advance(recoveryTime);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    CHECK(cluster.workers.crashes == 2);
    // One worker of 8 cores holds 16 runs; the first crash is unforeseen.
    CHECK(cluster.workers.lostRuns < 16 + 8);
    for (int i = 2; i < 400; ++i) {
        REQUIRE(cluster.phaseOf(jobId(i)) == JobPhase::Completed);
    }
}

TEST_CASE("workers that crash by themselves cost no job")
{
    // A worker of eight crashes every 3 s, and each crash makes suspects of what it had just started.
    JobCluster cluster(2, 8);
    cluster.workers.crashKeepsId = GENERATE(false, true);
    cluster.loop.advance(startupTime);
    std::vector<std::string> ids{"w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"};
    cluster.workers.replaced = [&](const WorkerRegistration &it) {
        cluster.registerWorker(it);
        if (std::find(ids.begin(), ids.end(), it.id) == ids.end()) {
            ids.push_back(it.id);
        }
    };
    std::mt19937 random(7);
    for (int i = 0; i < 1'000; ++i) {
        cluster.submit("e" + std::to_string(i % 2), makeJob(jobId(i), {makeStep(3, 500, {400}), makeStep(2, 500, {300}, {0})}));
        cluster.loop.advance({60});
        if (i % 50 == 0) {
            std::vector<std::string> up;
            std::copy_if(ids.begin(), ids.end(), std::back_inserter(up), [&](const auto &it) { return cluster.workers.isUp(it); });
            cluster.workers.crash(up[random() % up.size()]);
        }
    }
    cluster.loop.advance({60'000});
    CHECK(cluster.workers.crashes == 20);
    CHECK(cluster.workers.lostRuns > 20);
    for (int i = 0; i < 1'000; ++i) {
        CAPTURE(i);
        REQUIRE(cluster.phaseOf(jobId(i)) == JobPhase::Completed);
    }
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("subtasks that crash several workers of a rack together are not taken for the loss of the rack")
{
    JobCluster cluster(1, 6);
    cluster.loop.advance(startupTime);
    auto step = makeStep(4, 500, {600});
    step.maxPerWorker = 1;
    cluster.workers.deadly = {subtaskOf(1, 0), subtaskOf(1, 1), subtaskOf(1, 2), subtaskOf(1, 3)};
    cluster.submit("e0", makeJob(jobId(1), {step}));
    cluster.loop.advance(recoveryTime);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("a subtask that crashes its workers is given up although its owner or its workers answer late")
{
    const auto lag = GENERATE(Millis{100}, Millis{300}, Millis{600});
    const bool slowWorkers = GENERATE(false, true);
    CAPTURE(lag.count, slowWorkers);
    JobCluster cluster(1, 4);
    cluster.loop.advance(startupTime);
    if (slowWorkers) {
        for (const auto *const it : {"w0", "w1", "w2", "w3"}) {
            cluster.workers.responseDelay[it] = lag;
        }
    } else {
        cluster.delayEntry("e0", lag);
    }
    cluster.workers.deadly = {subtaskOf(1)};
    cluster.submit("e0", makeJob(jobId(1), {makeStep(1, 500, {600})}));
    for (int i = 2; i < 200; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(1, 500, {400})}));
        cluster.loop.advance({200});
    }
    cluster.loop.advance(recoveryTime);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("a worker that was only silent or cut off casts no lasting suspicion on its subtasks")
{
    const auto silence = GENERATE(Millis{1'500}, Millis{4'000}, Millis{9'000});
    CAPTURE(silence.count);
    JobCluster cluster(2, 2);
    cluster.loop.advance(startupTime);
    const auto spec = makeJob(jobId(1), {makeStep(6, 1'000, {60'000})});
    cluster.submit("e0", spec);
    cluster.loop.advance({100});
    cluster.workers.unresponsive = {"w0", "w1"};
    cluster.loop.advance(silence);
    cluster.workers.unresponsive.clear();
    cluster.loop.advance({4'000});
    for (int i = 0; i < 6; ++i) {
        for (const auto &it : recordedCrashes(cluster, spec, i)) {
            CHECK_FALSE(it.confirmed);
        }
        CHECK(recordedCrashes(cluster, spec, i).empty());
    }
}

TEST_CASE("a crash that is seen only after the lease has expired still counts")
{
    // The worker is back after 9 s, and its lease ends after 5 s, so the subtask runs elsewhere by then.
    JobCluster cluster(2, 6);
    cluster.workers.crashDownTime = {9'000};
    cluster.workers.crashKeepsId = GENERATE(false, true);
    cluster.loop.advance(startupTime);
    const auto spec = makeJob(jobId(1), {makeStep(1, 1'000, {600})});
    cluster.workers.deadly = {subtaskOf(1)};
    cluster.submit("e0", spec);
    cluster.loop.advance({60'000});
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    CHECK(cluster.workers.crashes <= 4);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("the members of a gang with a suspect run apart, and the gang is given up with the member that crashes its workers")
{
    JobSpec spec = makeJob(jobId(1), {makeStep(2, 1'000, {600})});
    spec.steps[0].gang = true;
    Pool pool("pool", 7, {});
    Millis now{100'000};
    std::vector<WorkerRegistration> entries;
    for (const auto *const id : {"w0", "w1", "w2"}) {
        entries.push_back({.id = id, .service = "pool", .address = id, .vm = id, .incarnationStart = 5, .capacity = {8'000, 8'000, 0}});
    }
    pool.addJob(spec, std::nullopt, now, now);
    const auto &members = pool.jobs().at(spec.id)->occurrences[0][0];
    for (int attempt = 1; attempt <= 2; ++attempt) {
        pool.setWorkers(entries, now);
        for (const auto &it : entries) {
            pool.onHold(it.id,
                        pool.fenceAt(it.id),
                        {.outcome = OrderOutcome::Accepted, .workerClock = {now.count}, .incarnationStart = it.incarnationStart},
                        now,
                        now,
                        now);
        }
        pool.schedule(now, now, true);
        pool.takeRecords(10);
        const auto starts = pool.onRecordsCommitted(now).starts;
        REQUIRE(starts.size() == 2);
        CHECK((starts[0].worker.id == starts[1].worker.id) == (attempt == 1));
        for (const auto &it : starts) {
            pool.onStart(it, {.outcome = OrderOutcome::Accepted, .workerClock = {now.count}}, now);
        }
        const auto crashed = starts[1].worker.id;
        const auto other = starts[0].worker.id;
        now += Millis{20};
        pool.onHold(crashed, pool.fenceAt(crashed), {.outcome = OrderOutcome::Unknown}, now, now, now);
        now += Millis{3'000};
        if (other != crashed) {
            RenewResult list{.outcome = OrderOutcome::Accepted, .workerClock = {now.count}};
            list.incarnationStart = pool.workers().at(other)->incarnation.startedAt;
            list.ended = {{.number = 1, .subtask = starts[0].subtask, .run = starts[0].run, .end = RunEnd::GangMemberEnded}};
            pool.onHold(other, pool.fenceAt(other), list, now, now, now);
        }
        pool.endWorkers({crashed}, now);
        std::erase_if(entries, [&](const auto &it) { return it.id == crashed; });
        entries.push_back({.id = crashed + "-2", .service = "pool", .address = crashed, .vm = crashed, .incarnationStart = 6});
        entries.back().capacity = {8'000, 8'000, 0};
        CHECK(members[1].crashes.size() == static_cast<std::size_t>(attempt));
    }
    CHECK(members[0].crashes.size() == 1);
    pool.schedule(now, now, true);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Failed);
}

TEST_CASE("a long-running subtask that crashes its workers fails its job, and one that has run long is cleared")
{
    JobCluster cluster(2, 4);
    cluster.loop.advance(startupTime);
    auto step = makeStep(3, 1'000, {600});
    step.longRunning = true;
    const auto sound = makeJob(jobId(2), {step});
    cluster.submit("e0", sound);
    cluster.workers.deadly = {subtaskOf(1, 1)};
    cluster.submit("e0", makeJob(jobId(1), {step}));
    cluster.loop.advance(recoveryTime);
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    CHECK(cluster.phaseOf(jobId(2)) == JobPhase::Running);
    for (int i = 0; i < 3; ++i) {
        CHECK(recordedCrashes(cluster, sound, i).empty());
    }
    CHECK(cluster.workers.runningOf(jobId(2)) == 3);
}

TEST_CASE("two owners that see the same crash count it once")
{
    JobSpec spec = makeJob(jobId(1), {makeStep(1, 1'000, {100})});
    auto record = emptyRecord(spec);
    record.phase = JobPhase::Running;
    // The previous owner recorded the crash and the next start on the restarted worker, which it did not get to send.
    record.occurrences[0][0][0] = {.lastRun = 2, .runs = {{2, "w", 5}}, .crashes = {crash("w", Suspicion::RecentStart)}};
    Pool pool("pool", 7, {});
    const Millis now{100'000};
    pool.addJob(spec, record, now, now);
    pool.setWorkers({{.id = "w", .service = "pool", .address = "w", .incarnationStart = 6, .capacity = {8'000, 8'000, 0}}}, now);
    pool.onHold("w", pool.fenceAt("w"), {.outcome = OrderOutcome::Accepted, .workerClock = {1'000}, .incarnationStart = 6}, now, now, now);
    pool.schedule(now, now, true);
    CHECK(pool.jobs().at(spec.id)->occurrences[0][0][0].crashes.size() == 1);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Running);
}

TEST_CASE("the runs of a crashed worker start again when its VM has a new worker, although its row is gone by then")
{
    JobCluster cluster(1, 2);
    cluster.workers.crashDownTime = {3'500};
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(2, 1'000, {600})}));
    cluster.loop.advance({100});
    const auto crashed = cluster.workers.runningOn("w0") > 0 ? std::string("w0") : std::string("w1");
    REQUIRE(cluster.workers.runningOn(crashed) == 2);
    cluster.workers.crash(crashed);
    cluster.loop.advance({2'000});
    cluster.unregisterWorker(crashed);
    // The lease of the lost runs ends 5 s after their start.
    cluster.loop.advance({2'800});
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Completed);
}

TEST_CASE("a long-running suspect gets room in a pool that is full of short subtasks")
{
    JobCluster cluster(1, 3);
    cluster.workers.crashKeepsId = true;
    cluster.workers.crashDownTime = {100'000};
    cluster.loop.advance(startupTime);
    auto step = makeStep(1, 4'000, {600});
    step.longRunning = true;
    cluster.submit("e0", makeJob(jobId(1), {step}));
    cluster.loop.advance({100});
    for (const auto *const it : {"w0", "w1", "w2"}) {
        if (cluster.workers.runningOn(it) > 0) {
            cluster.workers.crash(it);
            break;
        }
    }
    // The lease of the lost run takes 5 s, and the users allow 6 s after the last run.
    Millis waited;
    for (int i = 2; i < 600; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(4, 500, {600})}));
        cluster.loop.advance({30});
        waited += cluster.workers.runningOf(jobId(1)) == 0 ? Millis{30} : Millis{};
    }
    CHECK(waited < Millis{6'000});
}

TEST_CASE("crashes of workers that may not have carried out a start do not fail its job")
{
    JobSpec spec = makeJob(jobId(1), {makeStep(1, 1'000, {600})});
    Pool pool("pool", 7, {});
    Millis now{100'000};
    pool.addJob(spec, std::nullopt, now, now);
    std::int64_t incarnation = 5;
    const auto list = [&] {
        now += Millis{20};
        pool.onHold("w",
                    pool.fenceAt("w"),
                    {.outcome = OrderOutcome::Accepted, .workerClock = {now.count}, .incarnationStart = incarnation},
                    now,
                    now,
                    now);
    };
    for (int attempt = 1; attempt <= 2; ++attempt) {
        pool.setWorkers(
            {{.id = "w", .service = "pool", .address = "w", .vm = "w", .incarnationStart = incarnation, .capacity = {8'000, 8'000, 0}}},
            now);
        std::vector<StartOrder> starts;
        for (int i = 0; i < 40 && starts.empty(); ++i) {
            list();
            pool.schedule(now, now, true);
            pool.takeRecords(10);
            starts = pool.onRecordsCommitted(now).starts;
        }
        REQUIRE(starts.size() == 1);
        now += Millis{100};
        pool.onStart(starts[0], {.outcome = OrderOutcome::Unknown}, now);
        now += Millis{3'000};
        ++incarnation;
        list();
    }
    pool.schedule(now, now, true);
    CHECK(pool.jobs().at(spec.id)->phase == JobPhase::Running);
}

TEST_CASE("crashes still count after the owner changed and the rows of the crashed workers went")
{
    JobCluster cluster(1, 4);
    cluster.workers.crashDownTime = {4'000};
    cluster.loop.advance(startupTime);
    std::vector<std::string> ids{"w0", "w1", "w2", "w3"};
    std::set<std::string> gone;
    cluster.workers.replaced = [&](const WorkerRegistration &it) {
        cluster.registerWorker(it);
        ids.push_back(it.id);
    };
    cluster.workers.deadly = {subtaskOf(1)};
    cluster.submit("e0", makeJob(jobId(1), {makeStep(1, 500, {600})}));
    for (int i = 0; i < 100; ++i) {
        cluster.loop.advance({500});
        std::vector<std::string> down;
        std::copy_if(ids.begin(), ids.end(), std::back_inserter(down), [&](const auto &it) {
            return !cluster.workers.isUp(it) && gone.insert(it).second;
        });
        if (!down.empty()) {
            cluster.loop.advance({2'000});
            for (const auto &it : down) {
                cluster.unregisterWorker(it);
            }
            cluster.loop.advance({500});
            cluster.killEntry("e0");
            cluster.startEntry("e0");
        }
    }
    CHECK(cluster.phaseOf(jobId(1)) == JobPhase::Failed);
    INFO(joined(cluster.workers.violations));
    CHECK(cluster.workers.violations.empty());
}
