// Limits the retries of one pool to a share of its requests.
#pragma once

#include "helpers/millis.hpp"

namespace hibiscusbridge
{

/// Token bucket: each request adds a tenth of a token and each second adds one; a retry takes a whole token.
class RetryBudget
{
public:
    void addRequest(Millis now);
    /// Takes a token; false when the retry must not be made. `now` is the boot clock.
    bool tryTake(Millis now);

private:
    void refill(Millis now);

    double m_tokens = 3.0;
    Millis m_refilledAt{-1};
};

} // namespace hibiscusbridge
