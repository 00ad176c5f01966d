// Tests of the calls that are open when their entry stops.
#include "intake/intake.hpp"

#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "shards/rows.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis stopDelay{500};
constexpr const char *shard = "pool";

struct StoppingEntry {
    FakeLoop loop;
    FakeStore store{loop};
    Configuration configuration{.version = 1, .queues = {{.name = "q", .host = "host", .pathPrefix = "/q/", .pool = shard}}};
    std::unique_ptr<Intake> intake;
    std::map<std::string, Answer> answers;
    std::map<std::string, Millis> answeredAt;

    StoppingEntry()
    {
        intake = std::make_unique<Intake>(Intake::Ports{
            .store = store.port("entry"),
            .timers = loop.timers(),
            .clock = loop.clock(),
            .configuration = [this] { return &configuration; },
            .queuedJobs = [](const Queue &) { return 0; },
            .admit = [](const Queue &, const JobSpec &) { return Admission{}; },
            .shardsOf = [](const std::string &, const std::string &) { return std::vector<std::string>{shard}; },
            .unavailable = [] { return std::string(); },
        });
    }
    void send(CallKind kind, const std::string &id)
    {
        Call call{.kind = kind, .host = "host", .path = "/q/" + id};
        call.job = JobSpec{.steps = {StepSpec{.count = 1}}};
        intake->handle(std::move(call), [this, id](const Answer &answer) {
            CHECK(!answers.contains(id));
            answers[id] = answer;
            answeredAt[id] = loop.now();
        });
    }
    bool isStored(const std::string &id) const
    {
        return !store.value(submissionKey(shard, id)).empty();
    }
};

constexpr const char *firstId = "00000000000000a1";
constexpr const char *secondId = "00000000000000a2";
constexpr const char *thirdId = "00000000000000a3";

} // namespace

TEST_CASE("a stopping entry answers every call by its end although the store is silent")
{
    StoppingEntry entry;
    entry.store.unresponsive = true;
    entry.send(CallKind::Submit, firstId);
    entry.send(CallKind::Read, secondId);
    const auto end = entry.loop.now() + stopDelay;
    entry.intake->stopBy(end);
    entry.send(CallKind::Cancel, thirdId);
    entry.loop.advance(stopDelay);
    REQUIRE(entry.answers.size() == 3);
    CHECK(entry.answers[firstId].kind == AnswerKind::Unknown);
    CHECK(entry.answers[secondId].kind == AnswerKind::Refused);
    CHECK(entry.answers[thirdId].kind == AnswerKind::Refused);
    CHECK(entry.intake->inFlight() == 0);
    entry.loop.advance({5'000});
}

TEST_CASE("a job that a stopping entry has refused is not stored afterwards")
{
    StoppingEntry entry;
    entry.store.refusing = true;
    entry.send(CallKind::Submit, firstId);
    entry.loop.advance({30}); // Refused by the store, and waiting for the next attempt.
    entry.intake->stopBy(entry.loop.now());
    entry.loop.advance({1});
    REQUIRE(entry.answers.contains(firstId));
    CHECK(entry.answers[firstId].kind == AnswerKind::Refused);
    entry.store.refusing = false;
    entry.loop.advance({5'000});
    CHECK(!entry.isStored(firstId));
}

TEST_CASE("a stopping entry serves calls while time is left, and refuses them at once afterwards")
{
    StoppingEntry entry;
    entry.intake->stopBy(entry.loop.now() + stopDelay);
    entry.send(CallKind::Submit, firstId);
    entry.loop.advance({300});
    CHECK(entry.answers[firstId].kind == AnswerKind::Done);
    entry.send(CallKind::Submit, secondId);
    REQUIRE(entry.answers.contains(secondId));
    CHECK(entry.answers[secondId].kind == AnswerKind::Refused);
    entry.loop.advance({5'000});
    CHECK(entry.isStored(firstId));
    CHECK(!entry.isStored(secondId));
}
