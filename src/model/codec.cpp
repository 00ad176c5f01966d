// JSON values of the rows under `view/`.
#include "model/view.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

template<typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

template<typename Enum>
EnumName(Enum, std::string_view) -> EnumName<Enum>;

constexpr std::array vmStateNames{
    EnumName{VmState::Active, "active"},
    EnumName{VmState::Announced, "announced"},
    EnumName{VmState::Draining, "draining"},
    EnumName{VmState::Drained, "drained"},
    EnumName{VmState::Rebooting, "rebooting"},
    EnumName{VmState::Verifying, "verifying"},
    EnumName{VmState::Failed, "failed"},
};
constexpr std::array operationNames{
    EnumName{OperationKind::Drain, "drain"},
    EnumName{OperationKind::Reboot, "reboot"},
    EnumName{OperationKind::Move, "move"},
    EnumName{OperationKind::Repair, "repair"},
};
constexpr std::array waveStateNames{
    EnumName{WaveState::Running, "running"},
    EnumName{WaveState::Paused, "paused"},
    EnumName{WaveState::Finished, "finished"},
};

template<typename Enum, std::size_t n>
static std::string_view nameOf(const std::array<EnumName<Enum>, n> &names, Enum value)
{
    for (const auto &it : names) {
        if (it.value == value) {
            return it.name;
        }
    }
    return "invalid";
}

/// Throws json::other_error for an unknown name; callers turn exceptions into an empty result.
template<typename Enum, std::size_t n>
static Enum valueOf(const std::array<EnumName<Enum>, n> &names, std::string_view name)
{
    for (const auto &it : names) {
        if (it.name == name) {
            return it.value;
        }
    }
    throw json::other_error::create(501, "unknown name", static_cast<const json *>(nullptr));
}

std::string_view toString(VmState state)
{
    return nameOf(vmStateNames, state);
}

std::string_view toString(OperationKind kind)
{
    return nameOf(operationNames, kind);
}

std::string_view toString(WaveState state)
{
    return nameOf(waveStateNames, state);
}

/// Runs a decoder on parsed JSON; any malformed input gives an empty result.
template<typename Result, typename Decode>
static std::optional<Result> decode(std::string_view text, Decode decodeObject)
{
    try {
        return decodeObject(json::parse(text));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

static json encodeOperation(const Operation &operation)
{
    return {
        {"kind", toString(operation.kind)},
        {"destinationPool", operation.destinationPool},
        {"wave", operation.wave},
        {"startedBy", operation.startedBy},
        {"startedAtMs", operation.startedAt.count},
        {"reason", operation.reason},
        {"bootCountBefore", operation.bootCountBefore},
    };
}

static Operation decodeOperation(const json &object)
{
    return {
        .kind = valueOf(operationNames, object.at("kind").get<std::string>()),
        .destinationPool = object.at("destinationPool"),
        .wave = object.at("wave"),
        .startedBy = object.at("startedBy"),
        .startedAt = {object.at("startedAtMs")},
        .reason = object.at("reason"),
        .bootCountBefore = object.at("bootCountBefore"),
    };
}

std::string encodeVm(const VmRow &vm)
{
    json object{
        {"id", vm.id},
        {"pool", vm.pool},
        {"address", vm.address},
        {"zone", vm.zone},
        {"rack", vm.rack},
        {"slots", vm.slots},
        {"connections", vm.connections},
        {"state", toString(vm.state)},
        {"sinceMs", vm.since.count},
        {"maintainedAtMs", vm.maintainedAt.count},
    };
    if (!vm.declaredPool.empty()) {
        object["declaredPool"] = vm.declaredPool;
    }
    if (vm.failures > 0) {
        object["failures"] = vm.failures;
    }
    if (vm.operation) {
        object["operation"] = encodeOperation(*vm.operation);
    }
    return object.dump();
}

std::optional<VmRow> parseVm(std::string_view text)
{
    return decode<VmRow>(text, [](const json &object) {
        VmRow vm{
            .id = object.at("id"),
            .pool = object.at("pool"),
            .address = object.at("address"),
            .zone = object.at("zone"),
            .rack = object.at("rack"),
            .slots = object.at("slots"),
            .connections = object.at("connections"),
            .state = valueOf(vmStateNames, object.at("state").get<std::string>()),
            .since = {object.at("sinceMs")},
            .maintainedAt = {object.at("maintainedAtMs")},
        };
        vm.declaredPool = object.value("declaredPool", std::string());
        vm.failures = object.value("failures", 0U);
        if (const auto it = object.find("operation"); it != object.end()) {
            vm.operation = decodeOperation(*it);
        }
        return vm;
    });
}

std::string encodeLedger(const PoolLedger &ledger)
{
    return json{{"pool", ledger.pool}, {"out", ledger.out}}.dump();
}

std::optional<PoolLedger> parseLedger(std::string_view text)
{
    return decode<PoolLedger>(text, [](const json &object) { return PoolLedger{.pool = object.at("pool"), .out = object.at("out")}; });
}

std::string encodeMembers(const MemberList &list)
{
    json members = json::array();
    for (const auto &member : list.members) {
        members.push_back({{"id", member.id}, {"incarnation", member.incarnation}, {"address", member.address}, {"zone", member.zone}});
    }
    return json{{"members", members}}.dump();
}

std::optional<MemberList> parseMembers(std::string_view text)
{
    return decode<MemberList>(text, [](const json &object) {
        MemberList list;
        for (const auto &it : object.at("members")) {
            list.members.push_back(
                {.id = it.at("id"), .incarnation = it.at("incarnation"), .address = it.at("address"), .zone = it.at("zone")});
        }
        return list;
    });
}

std::string encodeWave(const Wave &wave)
{
    return json{
        {"id", wave.id},
        {"pools", wave.pools},
        {"state", toString(wave.state)},
        {"startedBy", wave.startedBy},
        {"startedAtMs", wave.startedAt.count},
        {"reason", wave.reason},
    }
        .dump();
}

std::optional<Wave> parseWave(std::string_view text)
{
    return decode<Wave>(text, [](const json &object) {
        return Wave{
            .id = object.at("id"),
            .pools = object.at("pools"),
            .state = valueOf(waveStateNames, object.at("state").get<std::string>()),
            .startedBy = object.at("startedBy"),
            .startedAt = {object.at("startedAtMs")},
            .reason = object.at("reason"),
        };
    });
}

std::string encodeSection(const StoredSection &section)
{
    return json{{"name", section.name}, {"text", section.text}, {"submissionId", section.submissionId}}.dump();
}

std::optional<StoredSection> parseSection(std::string_view text)
{
    return decode<StoredSection>(text, [](const json &object) {
        return StoredSection{.name = object.at("name"), .text = object.at("text"), .submissionId = object.at("submissionId")};
    });
}

} // namespace hibiscusbridge
