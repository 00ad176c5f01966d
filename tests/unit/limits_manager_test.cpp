// Single rules of the slot manager: leases, handover, queue bounds and refusals.
#include "limits_cluster.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

constexpr LimitsSettings small{
    .longestDeadline = {400}, .leaseExtra = {200}, .leaseMargin = {100}, .viewSpread = {300}, .longestHold = {200}, .queueLength = 16};
/// View spread, longest deadline, lease extra, longest hold and two margins.
constexpr int handoverWait = 1300;

/// Two entries with two slots each of one VM; clocks without drift, all shares usable.
struct TwoEntries : LimitsCluster {
    TwoEntries()
        : LimitsCluster(1, small)
    {
        addVm("vm0", "p", 4);
        for (const auto *id : {"a", "b"}) {
            addNode(id, 1).drift = 0;
        }
        advance(handoverWait + 50);
    }
    Node &a()
    {
        return *nodes[0];
    }
    Node &b()
    {
        return *nodes[1];
    }
    void fill(Node &node, int requests, int deadline, int service)
    {
        for (int i = 0; i < requests; ++i) {
            request(node, "p", {deadline}, {service});
        }
    }
};

TEST_CASE("a lender takes a slot back only after the lease and its margin", "[limits]")
{
    // Guards against a take-back while the borrower's last request, cancelled late, is still at the VM.
    TwoEntries cluster;
    cluster.lossPercent = 100; // The return never arrives.
    wire::Envelope request;
    request.set_sender("a");
    request.set_incarnation(1);
    request.mutable_slot_request()->set_pool("p");
    request.mutable_slot_request()->set_slots(1);
    cluster.b().manager->receive(request);
    REQUIRE(cluster.b().manager->counters().leasesLent == 1);
    cluster.advance(890); // The lease of 600 ms and a hold of 200 ms have run out, the margin of 100 ms has not.
    cluster.fill(cluster.b(), 2, 50, 5);
    CHECK(cluster.answers[absl::StatusCode::kOk] == 1);
    cluster.advance(60);
    cluster.answers.clear();
    cluster.fill(cluster.b(), 2, 100, 5);
    CHECK(cluster.answers[absl::StatusCode::kOk] == 2);
}

TEST_CASE("a duplicate of a grant does not revive a lease that was returned", "[limits]")
{
    TwoEntries cluster;
    cluster.lossPercent = 100;
    cluster.fill(cluster.a(), 3, 400, 150);
    REQUIRE(cluster.last.has_slot_request());
    wire::Envelope grant;
    grant.set_sender("b");
    grant.set_incarnation(1);
    grant.mutable_slot_grant()->set_vm("vm0");
    grant.mutable_slot_grant()->set_slots(1);
    grant.mutable_slot_grant()->set_lease_ms(600);
    grant.mutable_slot_grant()->set_lease_id(77);
    grant.mutable_slot_grant()->set_request_id(cluster.last.slot_request().request_id());
    cluster.a().manager->receive(grant);
    CHECK(cluster.inFlight["vm0"] == 3);
    cluster.advance(300);
    REQUIRE(cluster.last.slot_return().lease_id() == 77);
    cluster.a().manager->receive(grant);
    cluster.fill(cluster.a(), 3, 400, 150);
    CHECK(cluster.inFlight["vm0"] == 2);
    CHECK(cluster.a().manager->counters().leasesBorrowed == 1);
}

TEST_CASE("a return that arrives late or twice frees nothing else", "[limits]")
{
    TwoEntries cluster;
    cluster.duplicatePercent = 100;
    cluster.latePercent = 50;
    for (int i = 0; i < 600; ++i) {
        // Pauses between the bursts let idle leases go back.
        if (i % 20 < 4) {
            cluster.fill(i / 20 % 2 == 0 ? cluster.a() : cluster.b(), 2, 300, 25);
        }
        cluster.advance(10);
    }
    CHECK(cluster.overLimit == 0);
    CHECK(cluster.a().manager->counters().leasesBorrowed + cluster.b().manager->counters().leasesBorrowed > 10);
}

TEST_CASE("gained slots wait for the former owner's requests, lost slots stop at once", "[limits]")
{
    TwoEntries cluster;
    cluster.fill(cluster.b(), 2, 400, 1000);
    std::erase_if(cluster.view.members.members, [](const Member &member) { return member.id == "b"; });
    ++cluster.view.version;
    cluster.read(cluster.a());
    cluster.fill(cluster.a(), 4, 400, 200);
    CHECK(cluster.inFlight["vm0"] == 4);
    cluster.advance(700);
    cluster.answers.clear();
    cluster.fill(cluster.b(), 1, 100, 10);
    CHECK(cluster.answers[absl::StatusCode::kOk] == 0);
    cluster.advance(handoverWait);
    cluster.fill(cluster.a(), 4, 400, 200);
    CHECK(cluster.answers[absl::StatusCode::kOk] == 4);
    CHECK(cluster.overLimit == 0);
}

TEST_CASE("own and borrowed slots stay taken while a VM may run a request past its deadline", "[limits]")
{
    // Guards against a ninth request at a VM of eight slots, sent while a request that timed out still runs there.
    TwoEntries cluster;
    cluster.runsOn = true;
    cluster.fill(cluster.a(), 3, 350, 570); // Two on own slots, one on a borrowed one; all time out and run on.
    cluster.advance(20);
    REQUIRE(cluster.inFlight["vm0"] == 3);
    REQUIRE(cluster.a().manager->counters().leasesBorrowed == 1);
    for (int i = 0; i < 60; ++i) {
        cluster.fill(i % 2 == 0 ? cluster.a() : cluster.b(), 1, 100, 5);
        cluster.advance(10);
    }
    CHECK(cluster.a().manager->counters().holds == 3);
    CHECK(cluster.overLimit == 0);
    cluster.advance(2'100); // The estimate from the requests that timed out no longer refuses anything.
    cluster.answers.clear();
    cluster.fill(cluster.a(), 2, 100, 5);
    cluster.fill(cluster.b(), 2, 100, 5);
    CHECK(cluster.answers[absl::StatusCode::kOk] == 4); // No slot stays taken for ever.
}

TEST_CASE("a queue refuses at once what cannot finish in time and stays within its length", "[limits]")
{
    TwoEntries cluster;
    cluster.fill(cluster.a(), 2, 400, 100);
    cluster.advance(110);
    cluster.fill(cluster.b(), 2, 400, 390);
    cluster.fill(cluster.a(), 2, 400, 390); // All four slots are taken; the observed service time is 100 ms.
    cluster.answers.clear();
    cluster.fill(cluster.a(), 1, 120, 10);
    CHECK(cluster.answers[absl::StatusCode::kResourceExhausted] == 1);
    cluster.fill(cluster.a(), 20, 400, 10);
    // Two slots at 100 ms start the sixth waiting request after 300 ms, so it is the last that ends within 400 ms.
    CHECK(cluster.answers[absl::StatusCode::kResourceExhausted] == 15);
    CHECK(cluster.a().manager->retryAfter("p") >= Millis{200});
    CHECK(cluster.a().manager->retryAfter("p") <= Millis{1000});
    cluster.advance(1000);
    CHECK(cluster.answers[absl::StatusCode::kOk] + cluster.answers[absl::StatusCode::kDeadlineExceeded] == 6);

    LimitsCluster unobserved(2, small); // Without observations the length is the only bound.
    unobserved.addVm("vm0", "p", 1);
    unobserved.addNode("a", 1);
    unobserved.advance(handoverWait + 50);
    for (int i = 0; i < 50; ++i) {
        unobserved.request(*unobserved.nodes[0], "p", {300}, {250});
    }
    CHECK(unobserved.answers[absl::StatusCode::kResourceExhausted] == 50 - 1 - 16);
    unobserved.request(*unobserved.nodes[0], "p", {500}, {10});
    CHECK(unobserved.answers[absl::StatusCode::kInvalidArgument] == 1);
}

TEST_CASE("a waiting request with too little time left is dropped instead of started", "[limits]")
{
    // Guards against slots that are held by requests which cannot finish: the worker may run on after the deadline.
    PoolQueue queue(4);
    for (int i = 0; i < 200; ++i) {
        queue.observe({1000}, {i % 2 == 0 ? 50 : 150});
    }
    CHECK(queue.serviceTime({1000}) >= Millis{90});
    CHECK(queue.finishTime({1000}) >= Millis{180});
    queue.push({{"s", "p", {"vm0"}, {1150}}, {}});
    queue.push({{"s", "p", {"vm0"}, {1300}}, {}});
    const auto late = queue.takeLate({1000});
    REQUIRE(late.size() == 1);
    CHECK(late.front().demand.deadline == Millis{1150});
    CHECK(queue.size() == 1);
    CHECK(queue.takeLate({1300}).size() == 1);
    CHECK_FALSE(queue.admits({1300}, {1350}, 8));
    // An old estimate must not refuse everything for ever.
    CHECK(queue.admits({5000}, {5050}, 8));
}

TEST_CASE("a surge in one pool leaves the requests of another untouched", "[limits]")
{
    const auto run = [](bool isSurging) {
        LimitsCluster cluster(3, small);
        cluster.addVm("vm0", "p", 4);
        cluster.addVm("vm1", "q", 4);
        for (const auto *id : {"a", "b", "c"}) {
            cluster.addNode(id, 1);
        }
        cluster.advance(handoverWait + 50);
        std::vector<int> outcomes;
        for (int step = 0; step < 200; ++step) {
            for (int i = 0; isSurging && i < 5; ++i) {
                cluster.request(*cluster.nodes[static_cast<std::size_t>(i % 3)], "p", {300}, {40});
            }
            cluster.answers.clear();
            cluster.request(*cluster.nodes[static_cast<std::size_t>(step % 3)], "q", {300}, {20});
            outcomes.push_back(cluster.answers[absl::StatusCode::kOk]);
            cluster.advance(10);
        }
        return outcomes;
    };
    CHECK(run(true) == run(false));
    CHECK(run(true) == std::vector<int>(200, 1));
}

TEST_CASE("a stale entry starts nothing and lends nothing", "[limits]")
{
    // Guards against an entry that was frozen during a member change and lends slots that it has lost.
    TwoEntries cluster;
    cluster.loop.advance(small.viewSpread);
    cluster.read(cluster.a());
    cluster.fill(cluster.a(), 4, 100, 100);
    cluster.loop.advance({50});
    CHECK(cluster.b().manager->counters().leasesLent == 0);
    cluster.fill(cluster.b(), 1, 400, 10);
    CHECK(cluster.inFlight["vm0"] == 2);
}
