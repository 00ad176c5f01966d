// Reports of pools as JSON.
#include "upkeep/poolreport.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge::jobs
{

using Json = nlohmann::json;

std::string encodeReport(const PoolReport &report)
{
    Json vms = Json::object();
    for (const auto &[vm, use] : report.vms) {
        vms[vm] = Json::array({use.runs, use.longRunning, use.capacityCpu});
    }
    const Json json{{"empty", report.drained},
                    {"vms", std::move(vms)},
                    {"arriving_cpu", report.arrivingCpu},
                    {"arrived_before_cpu", report.previousArrivingCpu},
                    {"urgent_cpu", report.urgentCpu},
                    {"late_backlog", report.lateBacklog},
                    {"lasting_cpu", report.longRunningCpu},
                    {"lasting_vms", report.longRunningVms},
                    {"lasting_waiting", report.longRunningWaiting}};
    return json.dump();
}

std::optional<PoolReport> decodeReport(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        PoolReport report;
        report.drained = json.at("empty").get<std::set<std::string>>();
        for (const auto &[vm, use] : json.at("vms").items()) {
            report.vms[vm] = {use.at(0).get<int>(), use.at(1).get<int>(), use.at(2).get<std::int64_t>()};
        }
        report.arrivingCpu = json.at("arriving_cpu").get<std::int64_t>();
        report.previousArrivingCpu = json.at("arrived_before_cpu").get<std::int64_t>();
        report.urgentCpu = json.at("urgent_cpu").get<std::int64_t>();
        report.lateBacklog = json.at("late_backlog").get<std::int64_t>();
        report.longRunningCpu = json.at("lasting_cpu").get<std::int64_t>();
        report.longRunningVms = json.at("lasting_vms").get<int>();
        report.longRunningWaiting = json.at("lasting_waiting").get<int>();
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace hibiscusbridge::jobs
