// When an entry refuses callers because of the age of what it knows.
#include "intake/availability.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("an entry refuses callers while the store is silent or the configuration may be old")
{
    const Millis now{100'000};
    CHECK(unavailableReason({now, now}, now).empty());
    // The feed waits 1.5 s for a change and takes up to 0.4 s more; one failed wait and a slow answer must not interrupt the service.
    CHECK(unavailableReason({now, now - Millis{4'900}}, now).empty());
    CHECK_FALSE(unavailableReason({now - Millis{2'600}, now}, now).empty());
    // After a pause of 6 s the store has answered again, but the configuration has not been read yet.
    CHECK_FALSE(unavailableReason({now, now - Millis{6'000}}, now).empty());
    // Before the first read, calls are refused for lack of a configuration.
    CHECK(unavailableReason({now, {}}, now).empty());
}

TEST_CASE("an entry that was late itself does not tell callers that the store is silent")
{
    const Millis now{100'000};
    const Millis answeredAt{93'900};
    const Millis delay{6'000};
    const auto reasonWith = [&](const StoreContact &contact) {
        return unavailableReason(contact, now);
    };
    CHECK(reasonWith({answeredAt, now, now, delay}) == "this entry was late by 6000 ms and has not read the store since");
    // A delay before the last answer, and one that is shorter than the silence, explain nothing.
    CHECK(reasonWith({answeredAt, now, answeredAt - Millis{1}, delay}) == "the store has not answered for 6100 ms");
    CHECK(reasonWith({answeredAt, now, now, {1'000}}) == "the store has not answered for 6100 ms");
}
