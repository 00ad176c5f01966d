// Process harness of the tests.
#include "process/harness.hpp"

#include "adapters/httpclient.hpp"
#include "helpers/ids.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hibiscusbridge
{

constexpr auto operatorToken = "operator-token";
constexpr Millis pollPause{20};

std::vector<Answer> exchangeAll(const std::vector<Call> &calls, Millis timeout)
{
    EventLoop loop;
    HttpClient client(loop, {});
    std::vector<Answer> answers(calls.size());
    std::size_t left = calls.size();
    for (std::size_t i = 0; i < calls.size(); ++i) {
        const auto &call = calls[i];
        const auto rest = call.url.substr(std::string_view("http://").size());
        const auto slash = rest.find('/');
        TargetRequest request{
            .address = rest.substr(0, slash),
            .method = call.method,
            .path = rest.substr(slash),
            .headers = call.headers,
            .body = call.body,
            .timeout = timeout,
        };
        client.send(std::move(request), [&, i](TargetResult result) {
            if (result.outcome == TargetOutcome::Answered) {
                answers[i] = {result.status, std::move(result.headers), std::move(result.body)};
            }
            if (--left == 0) {
                loop.stop();
            }
        });
    }
    if (left > 0) {
        loop.run();
    }
    return answers;
}

Answer exchange(
    const std::string &method, const std::string &url, const std::string &body, const std::vector<Header> &headers, Millis timeout)
{
    return exchangeAll({{method, url, body, headers}}, timeout).front();
}

Process::Process(std::vector<std::string> arguments, std::vector<std::string> environment)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (auto &it : arguments) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    std::vector<char *> envp;
    envp.reserve(environment.size() + 1);
    for (auto &it : environment) {
        envp.push_back(it.data());
    }
    envp.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        if (!getenv("HIBISCUSBRIDGE_TEST_LOGS")) {
            dup2(open("/dev/null", O_WRONLY | O_CLOEXEC), STDERR_FILENO);
        }
        close_range(3, ~0U, CLOSE_RANGE_CLOEXEC); // Connections of the test must not stay open in the child.
        execve(argv[0], argv.data(), envp.data());
        _exit(127);
    }
}

Process::~Process()
{
    if (m_pid > 0) {
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

void Process::signal(int number) const
{
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

std::optional<int> Process::pollExit()
{
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int Process::waitExit(Millis timeout)
{
    std::optional<int> code;
    waitFor(
        [&] {
            code = pollExit();
            return code.has_value();
        },
        timeout);
    return code.value_or(-1);
}

bool waitFor(const std::function<bool()> &condition, Millis timeout)
{
    const auto clock = systemClock();
    const auto end = clock.boot() + timeout;
    while (!condition()) {
        if (clock.boot() > end) {
            return false;
        }
        usleep(static_cast<useconds_t>(pollPause.count * 1000));
    }
    return true;
}

/// A port that was free a moment ago. Ports below the ephemeral range are taken in turn, so that connections of the
/// test cannot occupy them in between.
std::string freeAddress()
{
    static int next = 10'000 + static_cast<int>(getpid() % 500) * 40;
    for (;; ++next) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(next));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree) {
            return "127.0.0.1:" + std::to_string(next++);
        }
    }
}

void Fleet::startEntry(const std::string &id)
{
    EntryProcess entry{.id = id, .callers = freeAddress(), .operators = freeAddress(), .peers = freeAddress()};
    std::vector<std::string> arguments{HIBISCUSBRIDGE_BINARY,
                                       "serve",
                                       "--entry-id",
                                       id,
                                       "--zone",
                                       "a",
                                       "--platform",
                                       platform,
                                       "--caller-address",
                                       entry.callers,
                                       "--operator-address",
                                       entry.operators,
                                       "--peer-address",
                                       entry.peers};
    arguments.insert(arguments.end(), entryFlags.begin(), entryFlags.end());
    std::string seeds;
    for (const auto &it : entries) {
        seeds += (seeds.empty() ? "" : ",") + it.peers;
    }
    if (!seeds.empty()) {
        arguments.insert(arguments.end(), {"--peers", seeds});
    }
    entry.process =
        std::make_unique<Process>(arguments, std::vector<std::string>{std::string("HIBISCUSBRIDGE_BOOTSTRAP_TOKEN=") + operatorToken});
    entries.push_back(std::move(entry));
}

Answer Fleet::control(const nlohmann::json &faults) const
{
    return exchange("POST", "http://" + platform + "/control", faults.dump());
}

nlohmann::json Fleet::targetReport() const
{
    return nlohmann::json::parse(exchange("GET", "http://" + targets.front() + "/control").body);
}

Answer Fleet::submit(const std::string &section, const std::string &text, const std::string &token, std::uint64_t baseVersion) const
{
    const std::vector<Header> headers{
        {"Authorization", "Bearer " + token}, {"X-Base-Version", std::to_string(baseVersion)}, {"X-Submission-Id", randomId()}};
    return exchange("PUT", "http://" + entries.front().operators + "/v1/document/sections/" + section, text, headers);
}

bool Fleet::allJoined() const
{
    return std::all_of(entries.begin(), entries.end(), [&](const EntryProcess &entry) {
        const auto answer = exchange("GET", "http://" + entry.operators + "/v1/status");
        return answer.status == 200 && nlohmann::json::parse(answer.body).at("members").size() == entries.size();
    });
}

Answer Fleet::call(std::size_t entry,
                   const std::string &method,
                   const std::string &path,
                   const std::string &body,
                   const std::vector<Header> &headers) const
{
    return exchange(method, "http://" + entries[entry].callers + path, body, headers);
}

std::string fleetSection()
{
    return "[teams.ops]\ntokenSha256 = \"" + sha256Hex(operatorToken)
           + "\"\n[sections.fleet]\nowner = \"ops\"\n[sections.pools]\nowner = \"ops\"\n";
}

std::string poolSection(const Fleet &fleet, std::size_t pools, std::size_t vmsPerPool, std::size_t minHealthy)
{
    std::string text;
    for (std::size_t pool = 0; pool < pools; ++pool) {
        const auto name = "svc" + std::to_string(pool);
        text += "[services." + name + "]\npool = \"" + name + "\"\ndeadlineMs = 3000\n";
        text += "[pools." + name + "]\nowner = \"ops\"\nminHealthy = " + std::to_string(minHealthy) + "\nmayLose = 1\n";
        for (std::size_t i = 0; i < vmsPerPool; ++i) {
            text += "[vms." + name + "-" + std::to_string(i) + "]\npool = \"" + name + "\"\naddress = \""
                    + fleet.targets[pool * vmsPerPool + i] + "\"\nzone = \"z" + std::to_string(i % 3) + "\"\nrack = \"r" + std::to_string(i)
                    + "\"\n";
        }
    }
    return text;
}

Fleet startFleet(std::size_t entries, std::size_t pools, std::size_t vmsPerPool, std::vector<std::string> entryFlags)
{
    Fleet fleet;
    fleet.entryFlags = std::move(entryFlags);
    fleet.platform = freeAddress();
    fleet.platformProcess = std::make_unique<Process>(std::vector<std::string>{PLATFORM_STANDIN_BINARY, fleet.platform});
    std::vector<std::string> targetArguments{TARGET_STANDIN_BINARY};
    for (std::size_t i = 0; i < pools * vmsPerPool; ++i) {
        fleet.targets.push_back(freeAddress());
        targetArguments.push_back(fleet.targets.back());
    }
    fleet.targetProcess = std::make_unique<Process>(targetArguments);
    waitFor([&] { return fleet.control(nlohmann::json::object()).status == 200; }, {5'000});
    waitFor([&] { return exchange("GET", "http://" + fleet.targets.back() + "/control").status == 200; }, {5'000});
    for (std::size_t i = 0; i < entries; ++i) {
        fleet.startEntry("e" + std::to_string(i));
    }
    waitFor([&] { return exchange("GET", "http://" + fleet.entries.front().operators + "/v1/status").status == 200; }, {5'000});
    waitFor([&] { return fleet.submit("fleet", fleetSection(), operatorToken).status == 200; }, {10'000});
    // Slots of VMs that appear after the entries have joined are usable at once.
    waitFor([&] { return fleet.allJoined(); }, {20'000});
    waitFor([&] { return fleet.submit("pools", poolSection(fleet, pools, vmsPerPool), operatorToken).status == 200; }, {10'000});
    for (std::size_t i = 0; i < entries; ++i) {
        waitFor([&] { return fleet.call(i, "GET", "/svc" + std::to_string(pools - 1) + "/").status == 200; }, {10'000});
    }
    return fleet;
}

} // namespace hibiscusbridge
