// Measures what control costs each entry, for fleets of several sizes, and fits slopes by least squares.
// Usage: controlcost [SECONDS_PER_PHASE [VMS:POOLS:ENTRIES ...]]
//
// Each fleet runs as processes on loopback, three fleets at a time: the entries, the platform stand-in, and one target
// stand-in that listens on an address of its own for every VM, so that probes are answered as in a healthy fleet.
// State changes of VMs and of the member list are rows rewritten through the table service.
#include "leastsquares.hpp"
#include "processstats.hpp"

#include "process/harness.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <sys/wait.h>
#include <unistd.h>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

constexpr auto token = "operator-token";
constexpr std::size_t poolsPerSection = 10;
constexpr std::size_t teams = 210;
constexpr std::size_t fleetsAtOnce = 3;
/// Lets the first reads of the whole view pass before the idle phase.
constexpr useconds_t settleMicroseconds = 4'000'000;
constexpr double documentRate = 2.0;
constexpr double vmRate = 10.0;
constexpr double memberRate = 2.0;

struct Size {
    std::size_t vms = 0;
    std::size_t pools = 0;
    std::size_t entries = 0;
};

/// Means over the entries of a fleet; rates per second.
enum Figure { Cpu, Memory, PeerBytes, PeerMessages, PlatformBytes, Reads, Writes, FigureCount };
constexpr std::array<const char *, FigureCount> figureNames{
    "CPU %", "RSS MB", "peer KB/s", "peer messages/s", "platform KB/s", "table reads/s", "table writes/s"};
enum Phase { Idle, DocumentChanges, VmChanges, MemberChanges, PhaseCount };
constexpr std::array<const char *, PhaseCount> phaseNames{"idle", "document", "VM", "members"};
constexpr std::array<double, PhaseCount> phaseRates{1.0, documentRate, vmRate, memberRate};

using Figures = std::array<double, FigureCount>;
using Phases = std::array<Figures, PhaseCount>;

struct Result {
    Size size;
    Phases phases{};
};

double now()
{
    return static_cast<double>(systemClock().boot().count) / 1000.0;
}

Figures countersOf(const EntryProcess &entry)
{
    const auto text = exchange("GET", "http://" + entry.operators + "/metrics").body;
    Figures out{};
    out[PeerBytes] = (metric(text, "peer_sent_bytes_total") + metric(text, "peer_received_bytes_total")) / 1e3;
    out[PeerMessages] = metric(text, "peer_messages_total");
    out[PlatformBytes] = (metric(text, "platform_sent_bytes_total") + metric(text, "platform_received_bytes_total")) / 1e3;
    out[Reads] = metric(text, "platform_calls_total{call=\"read\"}");
    out[Writes] = metric(text, "platform_calls_total{call=\"commit\"}");
    return out;
}

std::string fleetText(std::size_t sections)
{
    auto text = fleetSection();
    for (std::size_t i = 0; i < teams; ++i) {
        text += "[teams.team" + std::to_string(i) + "]\ntokenSha256 = \"" + std::string(64, 'a')
                + "\"\nquotaCores = 1\nquotaAccelerators = 0\n";
    }
    for (std::size_t i = 0; i < sections; ++i) {
        text += "[sections.part" + std::to_string(i) + "]\nowner = \"ops\"\n";
    }
    return text;
}

/// Section with the pools `section * poolsPerSection` and following, and their VMs; `deadline` makes each edit differ.
std::string sectionText(const Fleet &fleet, const Size &size, std::size_t section, std::size_t deadline)
{
    const auto first = section * poolsPerSection;
    const auto last = std::min(first + poolsPerSection, size.pools);
    std::string text;
    for (auto pool = first; pool < last; ++pool) {
        const auto name = "svc" + std::to_string(pool);
        text += "[services." + name + "]\npool = \"" + name + "\"\ndeadlineMs = " + std::to_string(deadline) + "\n";
        text += "[pools." + name + "]\nowner = \"team" + std::to_string(pool) + "\"\nminHealthy = 1\nmayLose = 1\n";
        for (auto vm = pool; vm < size.vms; vm += size.pools) {
            text += "[vms.vm-" + std::to_string(vm) + "]\npool = \"" + name + "\"\naddress = \"" + fleet.targets[vm] + "\"\nzone = \"z"
                    + std::to_string(vm % 7) + "\"\nrack = \"r" + std::to_string(vm / 4)
                    + "\"\ncores = 32\nmemoryMb = 65536\naccelerators = " + std::to_string(vm % 20 < 7 ? 3 : 2) + "\n";
        }
    }
    return text;
}

class Run
{
public:
    explicit Run(const Size &size)
        : m_size(size)
        , m_sections((size.pools + poolsPerSection - 1) / poolsPerSection)
    {
    }

    bool start();
    Phases measure(double seconds);

private:
    bool submit(std::size_t section, std::size_t deadline);
    void rewrite(const std::string &prefix, std::size_t index);
    void change(Phase phase, std::size_t number);
    Figures measurePhase(Phase phase, double seconds);

    Size m_size;
    std::size_t m_sections;
    std::vector<std::uint64_t> m_versions;
    Fleet m_fleet;
};

bool Run::submit(std::size_t section, std::size_t deadline)
{
    m_versions.resize(m_sections);
    const auto answer =
        m_fleet.submit("part" + std::to_string(section), sectionText(m_fleet, m_size, section, deadline), token, m_versions[section]);
    if (answer.status != 200) {
        std::cerr << "submission refused: " << answer.status << ' ' << answer.body.substr(0, 300) << '\n';
        return false;
    }
    m_versions[section] = json::parse(answer.body).at("version");
    return true;
}

bool Run::start()
{
    // Every process has a block of loopback addresses of its own.
    const auto block = "127." + std::to_string(1 + getpid() % 250) + "." + std::to_string(getpid() / 250 % 250) + ".";
    m_fleet.platform = block + "1:7000";
    m_fleet.platformProcess = std::make_unique<Process>(std::vector<std::string>{PLATFORM_STANDIN_BINARY, m_fleet.platform});
    std::vector<std::string> arguments{TARGET_STANDIN_BINARY};
    for (std::size_t i = 0; i < m_size.vms; ++i) {
        m_fleet.targets.push_back(block + std::to_string(2 + i / 100) + ":" + std::to_string(7100 + i % 100));
        arguments.push_back(m_fleet.targets.back());
    }
    m_fleet.targetProcess = std::make_unique<Process>(arguments);
    waitFor([&] { return m_fleet.control(json::object()).status == 200; }, {5'000});
    for (std::size_t i = 0; i < m_size.entries; ++i) {
        m_fleet.startEntry("entry-" + std::to_string(i));
    }
    const auto started = now();
    const bool joined = waitFor([&] { return m_fleet.allJoined(); }, {60'000});
    std::cerr << m_size.entries << " entries joined after " << now() - started << " s\n";
    if (!joined || !waitFor([&] { return m_fleet.submit("fleet", fleetText(m_sections), token).status == 200; }, {5'000})) {
        std::cerr << "the fleet did not start\n";
        return false;
    }
    for (std::size_t i = 0; i < m_sections; ++i) {
        if (!submit(i, 3000)) {
            return false;
        }
    }
    return waitFor(
        [&] {
            const auto rows = exchange("GET", "http://" + m_fleet.platform + "/v1/rows?prefix=view/vm/").body;
            usleep(200'000);
            return json::parse(rows).at("rows").size() == m_size.vms;
        },
        {20'000});
}

/// Writes a row again with the value that it has.
void Run::rewrite(const std::string &prefix, std::size_t index)
{
    const auto answer = json::parse(exchange("GET", "http://" + m_fleet.platform + "/v1/rows?prefix=" + prefix).body);
    const auto &rows = answer.at("rows");
    const auto &row = rows[index % rows.size()];
    const json transaction{{"preconditions", json::array({{{"key", row["key"]}, {"version", row["version"]}}})},
                           {"writes", json::array({{{"key", row["key"]}, {"value", row["value"]}}})}};
    exchange("POST", "http://" + m_fleet.platform + "/v1/transact", transaction.dump());
}

void Run::change(Phase phase, std::size_t number)
{
    if (phase == DocumentChanges) {
        submit(number % m_sections, 4000 + number);
    } else if (phase == VmChanges) {
        rewrite("view/vm/vm-" + std::to_string(number * 7 % m_size.vms), 0);
    } else if (phase == MemberChanges) {
        rewrite("view/members", 0);
    }
}

Figures Run::measurePhase(Phase phase, double seconds)
{
    const auto count = m_fleet.entries.size();
    std::vector<Figures> before;
    for (const auto &it : m_fleet.entries) {
        before.push_back(countersOf(it));
    }
    std::vector<double> cpu;
    for (const auto &it : m_fleet.entries) {
        cpu.push_back(cpuSeconds(it.process->pid()));
    }
    const auto begin = now();
    for (std::size_t n = 0; phase != Idle && n < static_cast<std::size_t>(seconds * phaseRates[phase]); ++n) {
        change(phase, n);
        const auto left = begin + static_cast<double>(n + 1) / phaseRates[phase] - now();
        usleep(left > 0 ? static_cast<useconds_t>(left * 1e6) : 0);
    }
    const auto rest = begin + seconds - now();
    usleep(rest > 0 ? static_cast<useconds_t>(rest * 1e6) : 0);
    const auto elapsed = now() - begin;
    Figures out{};
    for (std::size_t i = 0; i < count; ++i) {
        const auto pid = m_fleet.entries[i].process->pid();
        out[Cpu] += (cpuSeconds(pid) - cpu[i]) / elapsed * 100.0;
        out[Memory] += residentMegabytes(pid);
    }
    for (std::size_t i = 0; i < count; ++i) {
        const auto after = countersOf(m_fleet.entries[i]);
        for (std::size_t f = PeerBytes; f < FigureCount; ++f) {
            out[f] += (after[f] - before[i][f]) / elapsed;
        }
    }
    for (auto &it : out) {
        it /= static_cast<double>(count);
    }
    return out;
}

Phases Run::measure(double seconds)
{
    Phases out{};
    const auto view = exchange("GET", "http://" + m_fleet.platform + "/v1/rows?prefix=view/").body;
    usleep(settleMicroseconds);
    std::cerr << m_size.vms << " VMs, " << m_size.pools << " pools, " << m_size.entries << " entries: view of "
              << json::parse(view).at("rows").size() << " rows and " << view.size() << " bytes\n";
    for (std::size_t phase = 0; phase < PhaseCount; ++phase) {
        out[phase] = measurePhase(static_cast<Phase>(phase), seconds);
    }
    return out;
}

void printSlopes(const std::vector<Result> &results)
{
    std::printf(
        "\nFit: figure = base + a * VMs/100 + b * pools/100 + c * entries. Rows after idle: cost above idle, for one change a second.\n");
    std::printf("| load | figure | base | per 100 VMs | per 100 pools | per entry | fit at 510:153:9 | largest residual "
                "|\n|---|---|---|---|---|---|---|---|\n");
    for (std::size_t phase = 0; phase < PhaseCount; ++phase) {
        for (std::size_t f = 0; f < FigureCount; ++f) {
            std::vector<std::vector<double>> rows;
            std::vector<double> values;
            for (const auto &[size, phases] : results) {
                rows.push_back(
                    {1.0, static_cast<double>(size.vms) / 100, static_cast<double>(size.pools) / 100, static_cast<double>(size.entries)});
                values.push_back(phase == Idle ? phases[Idle][f] : (phases[phase][f] - phases[Idle][f]) / phaseRates[phase]);
            }
            const auto x = fit(rows, values);
            double worst = 0;
            for (std::size_t r = 0; r < rows.size(); ++r) {
                worst = std::max(worst, std::abs(x[0] + x[1] * rows[r][1] + x[2] * rows[r][2] + x[3] * rows[r][3] - values[r]));
            }
            std::printf("| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
                        phaseNames[phase],
                        figureNames[f],
                        x[0],
                        x[1],
                        x[2],
                        x[3],
                        x[0] + x[1] * 5.1 + x[2] * 1.53 + x[3] * 9,
                        worst);
        }
    }
}

void printResults(const std::vector<Result> &results)
{
    std::printf("| VMs | pools | entries | load |");
    for (const auto *name : figureNames) {
        std::printf(" %s |", name);
    }
    std::printf("\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto &[size, phases] : results) {
        for (std::size_t phase = 0; phase < PhaseCount; ++phase) {
            std::printf("| %zu | %zu | %zu | %s |", size.vms, size.pools, size.entries, phaseNames[phase]);
            for (const auto value : phases[phase]) {
                std::printf(" %.2f |", value);
            }
            std::printf("\n");
        }
    }
}

/// Measures in a child process; the pipe carries the figures.
int startChild(const Size &size, double seconds)
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0) {
        return -1;
    }
    if (fork() == 0) {
        close(ends[0]);
        Run run(size);
        if (run.start()) {
            const auto phases = run.measure(seconds);
            [[maybe_unused]] const auto n = write(ends[1], &phases, sizeof phases);
        }
        close(ends[1]);
        return -2;
    }
    close(ends[1]);
    return ends[0];
}

std::vector<Size> readSizes(int argc, char **argv)
{
    std::vector<Size> sizes;
    for (int i = 2; i < argc; ++i) {
        Size size;
        if (std::sscanf(argv[i], "%zu:%zu:%zu", &size.vms, &size.pools, &size.entries) == 3) {
            sizes.push_back(size);
        }
    }
    if (sizes.empty()) {
        sizes = {{50, 5, 3}, {50, 5, 9}, {150, 5, 3}, {300, 5, 3}, {510, 5, 3}, {510, 50, 3}, {510, 153, 3}, {510, 153, 6}, {510, 153, 9}};
    }
    return sizes;
}

int measureAll(int argc, char **argv)
{
    const auto seconds = argc > 1 ? std::stod(argv[1]) : 6.0;
    const auto sizes = readSizes(argc, argv);
    std::vector<Result> results;
    for (std::size_t i = 0; i < sizes.size(); i += fleetsAtOnce) {
        std::vector<std::pair<Size, int>> children;
        for (auto k = i; k < std::min(i + fleetsAtOnce, sizes.size()); ++k) {
            const int fd = startChild(sizes[k], seconds);
            if (fd == -2) {
                return 0; // The child has written its figures.
            }
            children.emplace_back(sizes[k], fd);
        }
        for (const auto &[size, fd] : children) {
            Result result{.size = size};
            if (read(fd, &result.phases, sizeof result.phases) == static_cast<ssize_t>(sizeof result.phases)) {
                results.push_back(result);
            } else {
                std::cerr << "no figures for " << size.vms << " VMs, " << size.pools << " pools, " << size.entries << " entries\n";
            }
            close(fd);
        }
        while (wait(nullptr) > 0) { }
    }
    printResults(results);
    if (results.size() > 4) {
        printSlopes(results);
    }
    return results.size() == sizes.size() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return measureAll(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
