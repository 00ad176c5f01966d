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
        vms[vm] = Json::array({use.runs, use.lasting, use.capacityCpu});
    }
    const Json json{{"empty", report.empty},
                    {"vms", std::move(vms)},
                    {"arriving_cpu", report.arrivingCpu},
                    {"arrived_before_cpu", report.arrivedBeforeCpu},
                    {"urgent_cpu", report.urgentCpu},
                    {"late_backlog", report.lateBacklog},
                    {"lasting_cpu", report.lastingCpu},
                    {"lasting_vms", report.lastingVms},
                    {"lasting_waiting", report.lastingWaiting}};
    return json.dump();
}

std::optional<PoolReport> decodeReport(std::string_view text)
{
    try {
        const auto json = Json::parse(text);
        PoolReport report;
        report.empty = json.at("empty").get<std::set<std::string>>();
        for (const auto &[vm, use] : json.at("vms").items()) {
            report.vms[vm] = {use.at(0).get<int>(), use.at(1).get<int>(), use.at(2).get<std::int64_t>()};
        }
        report.arrivingCpu = json.at("arriving_cpu").get<std::int64_t>();
        report.arrivedBeforeCpu = json.at("arrived_before_cpu").get<std::int64_t>();
        report.urgentCpu = json.at("urgent_cpu").get<std::int64_t>();
        report.lateBacklog = json.at("late_backlog").get<std::int64_t>();
        report.lastingCpu = json.at("lasting_cpu").get<std::int64_t>();
        report.lastingVms = json.at("lasting_vms").get<int>();
        report.lastingWaiting = json.at("lasting_waiting").get<int>();
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace hibiscusbridge::jobs
