// Token bucket for retries.
#include "requests/retrybudget.hpp"

#include <algorithm>

namespace hibiscusbridge
{

constexpr double tokensPerRequest = 0.1;
constexpr double tokensPerSecond = 1.0;
constexpr double maxTokens = 10.0;

void RetryBudget::refill(Millis now)
{
    if (m_refilledAt.count >= 0 && now > m_refilledAt) {
        m_tokens = std::min(maxTokens, m_tokens + static_cast<double>((now - m_refilledAt).count) * tokensPerSecond / 1000.0);
    }
    m_refilledAt = std::max(m_refilledAt, now);
}

void RetryBudget::addRequest(Millis now)
{
    refill(now);
    m_tokens = std::min(maxTokens, m_tokens + tokensPerRequest);
}

bool RetryBudget::tryTake(Millis now)
{
    refill(now);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace hibiscusbridge
