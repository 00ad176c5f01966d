// JSON encoding of pool reports.
#include "upkeep/poolreport.hpp"

#include "helpers/json.hpp"

namespace hibiscusbridge::jobs
{

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
                    {"expired_backlog", report.expiredBacklog},
                    {"expired_runnable_cpu", report.expiredRunnableCpu},
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
            report.vms[vm] = {toInt(use.at(0)), toInt(use.at(1)), toNumber(use.at(2))};
        }
        report.arrivingCpu = toNumber(json.at("arriving_cpu"));
        report.previousArrivingCpu = toNumber(json.at("arrived_before_cpu"));
        report.urgentCpu = toNumber(json.at("urgent_cpu"));
        report.lateBacklog = toNumber(json.at("late_backlog"));
        report.expiredBacklog = toNumber(json.at("expired_backlog"));
        report.expiredRunnableCpu = toNumber(json.at("expired_runnable_cpu"));
        report.longRunningCpu = toNumber(json.at("lasting_cpu"));
        report.longRunningVms = toInt(json.at("lasting_vms"));
        report.longRunningWaiting = toInt(json.at("lasting_waiting"));
        return report;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace hibiscusbridge::jobs
