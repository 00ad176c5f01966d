// Age limits of what an entry knows of the store.
#include "intake/availability.hpp"

namespace hibiscusbridge::jobs
{

constexpr Millis maxAnswerAge{2'500};
/// Covers a wait of the configuration's feed that failed, and the next request to a slow store.
constexpr Millis maxConfigurationAge{5'000};

std::string unavailableReason(const StoreContact &contact, Millis now)
{
    if (const auto age = now - contact.answeredAt; age > maxAnswerAge) {
        // An answer of the store may have waited unread.
        if (contact.delayEndedAt > contact.answeredAt && age - contact.delay <= maxAnswerAge) {
            return "this entry was late by " + std::to_string(contact.delay.count) + " ms and has not read the store since";
        }
        return "the store has not answered for " + std::to_string(age.count) + " ms";
    }
    if (const auto age = now - contact.configurationConfirmedAt; contact.configurationConfirmedAt.count > 0 && age > maxConfigurationAge) {
        return "the configuration has not been confirmed for " + std::to_string(age.count) + " ms";
    }
    return {};
}

} // namespace hibiscusbridge::jobs
