// Operator commands: arguments by TCLAP, one call of the operator port each.
#include "cli/commands.hpp"

#include "cli/client.hpp"
#include "cli/render.hpp"
#include "helpers/ids.hpp"
#include "helpers/url.hpp"

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>
#include <thread>

namespace hibiscusbridge
{

using nlohmann::json;

constexpr std::chrono::milliseconds followInterval{2'000};

namespace
{

/// Arguments that every command has.
struct CommonArguments {
    explicit CommonArguments(TCLAP::CmdLine &command, const Environment &environment)
        : operatorAddress(
            "", "operator", "operator port of any entry (HIBISCUSBRIDGE_OPERATOR)", false, defaultAddress(environment), "address", command)
        , asJson("", "json", "print the answer as JSON", command)
    {
    }

    static std::string defaultAddress(const Environment &environment)
    {
        const char *const value = environment("HIBISCUSBRIDGE_OPERATOR");
        return value ? value : "127.0.0.1:8081";
    }

    TCLAP::ValueArg<std::string> operatorAddress;
    TCLAP::SwitchArg asJson;
};

struct Context {
    std::vector<std::string> arguments;
    const Environment &environment;
};

using Render = std::string (*)(const json &);

} // namespace

static std::string readToken(const Environment &environment)
{
    if (const char *const token = environment("HIBISCUSBRIDGE_TOKEN")) {
        return token;
    }
    std::string text;
    if (const char *const path = environment("HIBISCUSBRIDGE_TOKEN_FILE")) {
        std::ifstream file(path);
        std::getline(file, text);
    }
    return text;
}

static ExitCode exitCodeOf(int status)
{
    if (status < 300) {
        return ExitCode::Success;
    }
    if (status == 409) {
        return ExitCode::Conflict;
    }
    if (status == 503) {
        return ExitCode::Unavailable;
    }
    if (status == 504) {
        return ExitCode::Unknown;
    }
    return status < 500 ? ExitCode::Refused : ExitCode::Failure;
}

/// Calls, prints the answer, and turns its status into an exit code. Refusals go to standard error as they are.
static ExitCode callAndPrint(const CommonArguments &common, const Environment &environment, OperatorCall call, Render render)
{
    const auto answer = callOperatorPort({common.operatorAddress.getValue(), readToken(environment)}, std::move(call));
    if (!answer.ok()) {
        std::cerr << answer.status().message() << '\n';
        return absl::IsUnavailable(answer.status()) ? ExitCode::Unavailable : ExitCode::Unknown;
    }
    const auto code = exitCodeOf(answer->status);
    if (code != ExitCode::Success) {
        std::cerr << answer->body;
        return code;
    }
    if (common.asJson.getValue() || !render) {
        std::cout << answer->body;
        return code;
    }
    try {
        std::cout << render(json::parse(answer->body));
    } catch (const json::exception &) {
        std::cerr << "malformed answer of the entry\n";
        return ExitCode::Failure;
    }
    return code;
}

static absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return absl::NotFoundError("cannot read '" + path + "'");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

static std::string sectionPath(const std::string &section)
{
    return "/v1/document/sections/" + percentEncode(section);
}

static TCLAP::CmdLine makeCommand(const std::string &help)
{
    return TCLAP::CmdLine(help, ' ', "0.1.0");
}

static void parse(TCLAP::CmdLine &command, const std::string &name, const Context &context)
{
    command.setExceptionHandling(false);
    auto arguments = context.arguments;
    arguments.insert(arguments.begin(), "hibiscusbridge " + name);
    command.parse(arguments);
}

/// The version of the section as accepted now; 0 when it does not exist.
static absl::StatusOr<std::uint64_t> currentVersion(const OperatorAccess &access, const std::string &section)
{
    const auto answer = callOperatorPort(access, {.path = sectionPath(section)});
    if (!answer.ok()) {
        return answer.status();
    }
    if (answer->status == 404) {
        return 0;
    }
    const auto object = json::parse(answer->body, nullptr, false);
    if (!object.is_object() || !object.contains("version")) {
        return absl::UnavailableError("entry does not tell the version of section '" + section + "'");
    }
    return object.at("version").get<std::uint64_t>();
}

static ExitCode submit(const Context &context, bool dryRun)
{
    const std::string name = dryRun ? "document check" : "document submit";
    auto command = makeCommand(dryRun ? "Validates a section as part of the whole document and shows what it would do. Changes nothing."
                                      : "Submits a section. The fleet follows what is accepted.");
    CommonArguments common(command, context.environment);
    TCLAP::ValueArg<std::int64_t> base(
        "", "base-version", "version that the edit is based on; without it, the version accepted now", false, -1, "version", command);
    TCLAP::ValueArg<std::string> id(
        "", "submission-id", "id to repeat a submission whose answer was lost", false, randomId(), "id", command);
    TCLAP::UnlabeledValueArg<std::string> section("section", "name of the section", true, "", "section", command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file", true, "", "file", command);
    parse(command, name, context);

    const auto text = readFile(file.getValue());
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return ExitCode::Usage;
    }
    auto version = absl::StatusOr<std::uint64_t>(static_cast<std::uint64_t>(base.getValue()));
    if (base.getValue() < 0) {
        version = currentVersion({common.operatorAddress.getValue(), readToken(context.environment)}, section.getValue());
    }
    if (!version.ok()) {
        std::cerr << version.status().message() << '\n';
        return ExitCode::Unavailable;
    }
    OperatorCall call{.method = "PUT", .path = sectionPath(section.getValue()) + (dryRun ? "?dry-run=1" : ""), .body = *text};
    call.headers = {{"X-Base-Version", std::to_string(*version)}, {"X-Submission-Id", id.getValue()}};
    const auto code =
        callAndPrint(common, context.environment, std::move(call), [](const json &answer) { return answer.at("text").get<std::string>(); });
    if (code == ExitCode::Unknown) {
        std::cerr << "repeat with --base-version " << *version << " --submission-id " << id.getValue() << '\n';
    }
    return code;
}

static ExitCode documentSubmit(const Context &context)
{
    return submit(context, false);
}

static ExitCode documentCheck(const Context &context)
{
    return submit(context, true);
}

static ExitCode documentShow(const Context &context)
{
    auto command = makeCommand("Lists the sections, or prints the text of one.");
    CommonArguments common(command, context.environment);
    TCLAP::UnlabeledValueArg<std::string> section("section", "name of the section; all when left out", false, "", "section", command);
    parse(command, "document show", context);
    if (section.getValue().empty()) {
        return callAndPrint(common, context.environment, {.path = "/v1/document"}, renderSections);
    }
    return callAndPrint(common, context.environment, {.path = sectionPath(section.getValue())}, [](const json &answer) {
        return answer.at("text").get<std::string>();
    });
}

static ExitCode documentDiff(const Context &context)
{
    auto command = makeCommand("Shows how a file differs from the accepted section.");
    CommonArguments common(command, context.environment);
    TCLAP::UnlabeledValueArg<std::string> section("section", "name of the section", true, "", "section", command);
    TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file", true, "", "file", command);
    parse(command, "document diff", context);
    const auto text = readFile(file.getValue());
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return ExitCode::Usage;
    }
    OperatorCall call{.method = "POST", .path = sectionPath(section.getValue()) + "/diff", .body = *text};
    return callAndPrint(
        common, context.environment, std::move(call), [](const json &answer) { return answer.at("diff").get<std::string>(); });
}

static ExitCode status(const Context &context)
{
    auto command = makeCommand("Shows the entry, its peers and every pool's budget.");
    CommonArguments common(command, context.environment);
    parse(command, "status", context);
    return callAndPrint(common, context.environment, {.path = "/v1/status"}, renderStatus);
}

static ExitCode explain(const Context &context)
{
    auto command = makeCommand("Says what was done to a VM or a pool, when, by whom and why.");
    CommonArguments common(command, context.environment);
    std::vector<std::string> kinds{"vm", "pool"};
    TCLAP::ValuesConstraint<std::string> allowed(kinds);
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "vm or pool", true, "", &allowed, command);
    TCLAP::UnlabeledValueArg<std::string> id("id", "VM id or pool name", true, "", "id", command);
    parse(command, "explain", context);
    return callAndPrint(
        common, context.environment, {.path = "/v1/explain/" + kind.getValue() + "/" + percentEncode(id.getValue())}, renderExplanation);
}

static ExitCode audit(const Context &context)
{
    auto command = makeCommand("Shows the audit trail, newest last.");
    CommonArguments common(command, context.environment);
    TCLAP::ValueArg<std::string> subject("", "subject", "such as vm/ID or section/NAME; all when left out", false, "", "subject", command);
    TCLAP::ValueArg<unsigned> limit("", "limit", "entries at most", false, 50, "n", command);
    parse(command, "audit", context);
    const auto path = "/v1/audit?subject=" + percentEncode(subject.getValue()) + "&limit=" + std::to_string(limit.getValue());
    return callAndPrint(common, context.environment, {.path = path}, renderAudit);
}

static ExitCode drain(const Context &context)
{
    auto command = makeCommand("Takes a VM out of service without interrupting a request, or takes that back.");
    CommonArguments common(command, context.environment);
    TCLAP::SwitchArg undo("", "undo", "bring the VM back", command);
    TCLAP::ValueArg<std::string> reason("", "reason", "for the audit trail", false, "operator request", "text", command);
    TCLAP::UnlabeledValueArg<std::string> vm("vm", "VM id", true, "", "vm", command);
    parse(command, "drain", context);
    OperatorCall call{.method = "POST", .path = "/v1/vms/" + percentEncode(vm.getValue()) + (undo.getValue() ? "/undo" : "/drain")};
    call.body = json{{"reason", reason.getValue()}}.dump();
    return callAndPrint(common, context.environment, std::move(call), nullptr);
}

static ExitCode waveStart(const Context &context)
{
    auto command = makeCommand("Starts a maintenance wave: every VM of the pools is drained, rebooted and verified.");
    CommonArguments common(command, context.environment);
    TCLAP::ValueArg<std::string> reason("", "reason", "for the audit trail", false, "maintenance", "text", command);
    TCLAP::UnlabeledMultiArg<std::string> pools("pools", "pools; all when left out", false, "pool", command);
    parse(command, "wave start", context);
    OperatorCall call{.method = "POST", .path = "/v1/waves"};
    call.body = json{{"pools", pools.getValue()}, {"reason", reason.getValue()}}.dump();
    return callAndPrint(common, context.environment, std::move(call), nullptr);
}

static ExitCode waveChange(const Context &context, const std::string &verb)
{
    auto command = makeCommand("Makes a wave " + verb + ".");
    CommonArguments common(command, context.environment);
    TCLAP::UnlabeledValueArg<std::string> wave("wave", "id of the wave", true, "", "wave", command);
    parse(command, "wave " + verb, context);
    return callAndPrint(
        common, context.environment, {.method = "POST", .path = "/v1/waves/" + percentEncode(wave.getValue()) + "/" + verb}, nullptr);
}

static ExitCode wavePause(const Context &context)
{
    return waveChange(context, "pause");
}

static ExitCode waveResume(const Context &context)
{
    return waveChange(context, "resume");
}

static ExitCode waveStatus(const Context &context)
{
    auto command = makeCommand("Shows the waves: VMs done, and why each of the others waits.");
    CommonArguments common(command, context.environment);
    TCLAP::SwitchArg follow("", "follow", "print again every two seconds until every wave is finished", command);
    parse(command, "wave status", context);
    const OperatorAccess access{common.operatorAddress.getValue(), readToken(context.environment)};
    for (;;) {
        const auto code = callAndPrint(common, context.environment, {.path = "/v1/waves"}, renderWaves);
        if (code != ExitCode::Success || !follow.getValue()) {
            return code;
        }
        const auto answer = callOperatorPort(access, {.path = "/v1/waves"});
        if (answer.ok() && answer->body.find("\"running\"") == std::string::npos) {
            return code;
        }
        std::this_thread::sleep_for(followInterval);
    }
}

namespace
{

struct Command {
    std::string_view name;
    std::string_view help;
    ExitCode (*run)(const Context &);
};

constexpr std::array commands{
    Command{"document check", "validate a section and show what it would do", documentCheck},
    Command{"document submit", "submit a section", documentSubmit},
    Command{"document show", "list the sections or print one", documentShow},
    Command{"document diff", "compare a file with the accepted section", documentDiff},
    Command{"status", "entry, peers and budgets", status},
    Command{"explain", "what happened to a VM or a pool, and why", explain},
    Command{"audit", "the audit trail", audit},
    Command{"drain", "take a VM out of service", drain},
    Command{"wave start", "start a maintenance wave", waveStart},
    Command{"wave pause", "pause a wave", wavePause},
    Command{"wave resume", "resume a wave", waveResume},
    Command{"wave status", "progress of the waves", waveStatus},
};

} // namespace

std::string commandOverview()
{
    std::vector<std::vector<std::string>> rows;
    rows.reserve(commands.size());
    for (const auto &it : commands) {
        rows.push_back({"  " + std::string(it.name), std::string(it.help)});
    }
    return renderTable(rows);
}

ExitCode runOperatorCommand(std::vector<std::string> arguments, const Environment &environment)
{
    for (const auto &it : commands) {
        const auto words = static_cast<std::ptrdiff_t>(it.name.find(' ') == std::string_view::npos ? 1 : 2);
        if (static_cast<std::ptrdiff_t>(arguments.size()) < words) {
            continue;
        }
        const auto name = words == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
        if (name != it.name) {
            continue;
        }
        try {
            return it.run({{arguments.begin() + words, arguments.end()}, environment});
        } catch (const TCLAP::ArgException &error) {
            std::cerr << "hibiscusbridge " << it.name << ": " << error.argId() << ": " << error.error() << '\n';
            return ExitCode::Usage;
        } catch (const TCLAP::ExitException &) {
            return ExitCode::Success; // --help was printed.
        }
    }
    std::cerr << "unknown command; see hibiscusbridge --help\n";
    return ExitCode::Usage;
}

} // namespace hibiscusbridge
