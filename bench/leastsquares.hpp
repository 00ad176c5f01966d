// Linear least squares.
#pragma once

#include <cstddef>
#include <vector>

namespace hibiscusbridge
{

/// Least-squares solution of rows * x = values by the normal equations.
inline std::vector<double> fit(const std::vector<std::vector<double>> &rows, const std::vector<double> &values)
{
    const auto n = rows.front().size();
    std::vector<std::vector<double>> a(n, std::vector<double>(n + 1));
    for (std::size_t r = 0; r < rows.size(); ++r) {
        for (std::size_t i = 0; i < n; ++i) {
            for (std::size_t j = 0; j < n; ++j) {
                a[i][j] += rows[r][i] * rows[r][j];
            }
            a[i][n] += rows[r][i] * values[r];
        }
    }
    for (std::size_t i = 0; i < n; ++i) {
        for (std::size_t k = 0; k < n; ++k) {
            const auto factor = k == i ? 0.0 : a[k][i] / a[i][i];
            for (std::size_t j = i; j <= n && k != i; ++j) {
                a[k][j] -= factor * a[i][j];
            }
        }
    }
    std::vector<double> x;
    for (std::size_t i = 0; i < n; ++i) {
        x.push_back(a[i][n] / a[i][i]);
    }
    return x;
}

} // namespace hibiscusbridge
