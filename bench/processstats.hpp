// Figures of a running process and of its metrics.
#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace hibiscusbridge
{

/// Processor time used so far, user and system.
inline double cpuSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Resident memory.
inline double residentMegabytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Sum of the samples whose name and labels start with the prefix.
inline double metric(const std::string &text, const std::string &prefix)
{
    double sum = 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("hibiscusbridge_" + prefix)) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

} // namespace hibiscusbridge
