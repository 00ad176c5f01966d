// Tests of submissions by many entries to one part of the store, beyond what it handles one transaction each.
#include "intake/intake.hpp"

#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "shards/rows.hpp"

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr const char *shard = "pool";
constexpr int entryCount = 40;
/// Each entry gets a submission at this interval, three times as often in a surge.
constexpr Millis arrivalInterval{100};
constexpr Millis surgeInterval{33};
constexpr Millis loadTime{4'000};
constexpr Millis surgeTime{2'000};
/// The caller's timeout less the margin for the response.
constexpr Millis callerPatience{2'700};
constexpr Millis renewalInterval{50};

struct OverloadedStore {
    FakeLoop loop;
    FakeStore store{loop};
    Configuration configuration{.version = 1, .queues = {{.name = "q", .host = "host", .pathPrefix = "/q/", .pool = shard}}};
    std::vector<std::unique_ptr<Intake>> intakes;
    std::map<AnswerKind, int> answers;
    std::vector<std::string> accepted;
    std::vector<std::string> refused;
    Millis longest;
    int sent = 0;
    int renewals = 0;
    int renewalsRefused = 0;
    StorePort owner = store.port("owner");

    OverloadedStore()
    {
        store.transactionTime = {4};
        store.writesPerSecond = 800;
        for (int i = 0; i < entryCount; ++i) {
            intakes.push_back(std::make_unique<Intake>(Intake::Ports{
                .store = store.port("entry" + std::to_string(i)),
                .timers = loop.timers(),
                .clock = loop.clock(),
                .configuration = [this] { return &configuration; },
                .queuedJobs = [](const Queue &) { return 0; },
                .admit = [](const Queue &, const JobSpec &) { return Admission{}; },
                .shardsOf = [](const std::string &, const std::string &) { return std::vector<std::string>{shard}; },
                .unavailable = [] { return std::string(); },
            }));
        }
    }
    void submit(Intake &intake)
    {
        std::string id(16, '0');
        std::snprintf(id.data(), id.size() + 1, "%016x", ++sent);
        Call call{.kind = CallKind::Submit, .host = "host", .path = "/q/" + id};
        call.job = JobSpec{.steps = {StepSpec{.count = 1}}};
        intake.handle(std::move(call), [this, id, at = loop.now()](const Answer &answer) {
            ++answers[answer.kind];
            longest = std::max(longest, loop.now() - at);
            if (answer.kind == AnswerKind::Done) {
                accepted.push_back(id);
            } else if (answer.kind == AnswerKind::Refused) {
                refused.push_back(id);
            }
        });
    }
    void renew()
    {
        RowTransaction tx;
        tx.puts.push_back({{"claims", "other", "row"}, "1"});
        owner.commit(std::move(tx), {900}, [this](const CommitResult &result) {
            ++renewals;
            renewalsRefused += result.outcome == CommitOutcome::Applied ? 0 : 1;
        });
    }
    /// Entries get their submissions one after another, evenly spread over the interval.
    void load(Millis duration, Millis interval)
    {
        for (Millis t; t < duration; t = t + Millis{1}) {
            for (int i = 0; i < entryCount; ++i) {
                if ((t.count + i * interval.count / entryCount) % interval.count == 0) {
                    submit(*intakes[i]);
                }
            }
            if (t.count % renewalInterval.count == 0) {
                renew();
            }
            loop.advance({1});
        }
    }
    bool isStored(const std::string &id) const
    {
        return !store.value(submissionKey(shard, id)).empty();
    }
};

} // namespace

TEST_CASE("submissions beyond the transactions of a part get no unknown outcome and do not starve renewals")
{
    OverloadedStore world;
    world.load(loadTime, arrivalInterval);
    world.load(surgeTime, surgeInterval);
    world.load(loadTime, arrivalInterval);
    world.loop.advance({10'000});
    CHECK(world.answers[AnswerKind::Unknown] == 0);
    CHECK(world.answers[AnswerKind::Refused] == 0);
    CHECK(world.answers[AnswerKind::Done] == world.sent);
    CHECK(world.longest.count <= callerPatience.count);
    CHECK(world.renewals > 0);
    CHECK(world.renewalsRefused == 0);
    CHECK(std::all_of(world.accepted.begin(), world.accepted.end(), [&](const auto &id) { return world.isStored(id); }));
    CHECK(std::none_of(world.refused.begin(), world.refused.end(), [&](const auto &id) { return world.isStored(id); }));
}
