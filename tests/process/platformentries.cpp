// Entry processes on the stand-in of the platform's store, and their callers.
#include "process/platformentries.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hibiscusbridge
{

constexpr Millis startTimeout{10'000};
/// A request that was sent this shortly before the end of its connection may not have been read.
constexpr Millis unreadTime{200};
constexpr Millis callerTimeout{3'000};
/// Of the reads and cancels of mixed callers, one in so many is for a job that nobody submitted.
constexpr std::uint32_t unknownInterval = 5;
/// Longer than the caller's deadline and the grace period of its entry together.
constexpr Millis receiveTimeout{15'000};

static std::string base64(const std::string &text)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > text.size() ? '=' : digits[(bits >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

PlatformEntries::PlatformEntries(std::size_t n)
    : m_store(freeAddress())
    , m_storeProcess(std::make_unique<Process>(std::vector<std::string>{STORE_STANDIN_BINARY, m_store}))
{
    waitFor([&] { return exchange("POST", "http://" + m_store + "/control", "{}").status == 200; }, startTimeout);
    configure(1);
    for (std::size_t i = 1; i <= n; ++i) {
        PlatformEntry entry{.name = "entry-" + std::to_string(i),
                            .callers = freeAddress(),
                            .ready = freeAddress(),
                            .peers = freeAddress(),
                            .metrics = freeAddress()};
        entry.settingsPath =
            std::filesystem::temp_directory_path() / ("entry-" + std::to_string(getpid()) + "-" + std::to_string(i) + ".toml");
        writeSettings(entry);
        start(entry);
        entries.push_back(std::move(entry));
    }
    waitFor([&] { return std::all_of(entries.begin(), entries.end(), [&](const auto &it) { return isReady(it); }); }, startTimeout);
}

PlatformEntries::~PlatformEntries()
{
    for (const auto &it : entries) {
        std::error_code ec;
        std::filesystem::remove(it.settingsPath, ec);
    }
}

void PlatformEntries::writeSettings(const PlatformEntry &entry) const
{
    std::ofstream out(entry.settingsPath);
    out << "name = \"" << entry.name << "\"\nzone = \"a\"\ncaller_address = \"" << entry.callers << "\"\nready_address = \"" << entry.ready
        << "\"\npeer_address = \"" << entry.peers << "\"\nmetrics_port = " << parseSocketAddress(entry.metrics)->port
        << "\n[platform]\nstore_address = \"" << m_store << "\"\nvm_address = \"" << m_store
        << "\"\n[bounds]\nstop_grace_s = " << stopGrace.count / 1000 << "\n";
}

void PlatformEntries::breakSettings(const PlatformEntry &entry)
{
    std::ofstream(entry.settingsPath) << "name = [";
}

void PlatformEntries::start(PlatformEntry &entry) const
{
    entry.process = std::make_unique<Process>(std::vector<std::string>{HIBISCUSBRIDGE_BINARY, "entry"},
                                              std::vector<std::string>{"HIBISCUSBRIDGE_CONFIG=" + entry.settingsPath});
}

bool PlatformEntries::isReady(const PlatformEntry &entry) const
{
    if (exchange("GET", "http://" + entry.ready + "/-/readiness").status != 200) {
        return false;
    }
    // An unknown job is reported only once the division of the fleet is known.
    return exchange("GET", "http://" + entry.callers + "/q/00000000000000ff", {}, {{"Host", "jobs.example"}}).status == 410;
}

std::set<std::string> PlatformEntries::controlStore(const nlohmann::json &faults) const
{
    const auto answer = exchange("POST", "http://" + m_store + "/control", faults.dump());
    return nlohmann::json::parse(answer.body).at("submissions").get<std::set<std::string>>();
}

void PlatformEntries::configure(std::int64_t version) const
{
    nlohmann::json route;
    route["name"] = "q";
    route["host"] = "jobs.example";
    route["path_prefix"] = "/q/";
    route["service"] = "pool";
    nlohmann::json configuration;
    configuration["version"] = version;
    configuration["routes"].push_back(route);
    configuration["services"].push_back(nlohmann::json::object({{"name", "pool"}}));
    nlohmann::json row;
    row["table"] = "op";
    row["part"] = "";
    row["key"] = "config";
    row["value"] = base64(configuration.dump());
    nlohmann::json request;
    request["puts"].push_back(row);
    controlStore(request);
}

Connection::Connection(const std::string &address)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto parsed = parseSocketAddress(address);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(parsed->port);
    inet_pton(AF_INET, parsed->host.c_str(), &to.sin_addr);
    const timeval timeout{.tv_sec = receiveTimeout.count / 1000, .tv_usec = 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    m_open = connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0;
}

Connection::~Connection()
{
    close(m_fd);
}

bool Connection::send(const std::string &text)
{
    m_open = ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
    return m_open;
}

int Connection::receive()
{
    std::string text;
    std::array<char, 4096> buf{};
    std::size_t total = std::string::npos;
    while (text.size() < total) {
        const auto n = recv(m_fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            m_open = false;
            return 0;
        }
        text.append(buf.data(), static_cast<std::size_t>(n));
        if (const auto end = text.find("\r\n\r\n"); end != std::string::npos) {
            const auto length = text.find("Content-Length: ");
            total = end + 4 + (length < end ? std::stoul(text.substr(length + 16)) : 0);
        }
    }
    m_open = text.find("Connection: close") == std::string::npos;
    return std::stoi(text.substr(9, 3));
}

KeepAliveCallers::KeepAliveCallers(const std::vector<PlatformEntry> &entries, std::size_t callers, CallerOptions options)
    : m_options(options)
{
    for (std::size_t i = 0; i < callers; ++i) {
        m_threads.emplace_back([this, i, address = entries[i % entries.size()].callers] { run(address, i); });
    }
}

KeepAliveCallers::~KeepAliveCallers()
{
    finish();
}

static std::string jobId(std::size_t caller, std::uint32_t number)
{
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(caller), number);
    return id.data();
}

void KeepAliveCallers::run(const std::string &address, std::size_t number)
{
    const auto clock = systemClock();
    const std::string body = R"({"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":100}]})";
    std::unique_ptr<Connection> connection;
    const auto method = [this](std::uint32_t turn) {
        constexpr std::array methods{"POST", "GET", "POST", "GET", "POST", "DELETE", "GET"};
        return m_options.mixed ? methods.at(turn % methods.size()) : methods.front();
    };
    std::uint32_t lastJob = 0;
    for (std::uint32_t turn = 0; !m_stop; ++turn) {
        usleep(static_cast<useconds_t>(m_options.pause.count * 1000));
        if (!connection || !connection->isOpen()) {
            connection = std::make_unique<Connection>(address);
        }
        if (!connection->isOpen()) {
            continue; // The entry is down.
        }
        Submission submission{.method = method(turn), .id = jobId(number, turn), .entry = address, .sentAt = clock.boot()};
        const bool submits = submission.method == "POST";
        if (!submits && turn % unknownInterval != 0) {
            submission.id = jobId(number, lastJob);
        }
        if (!connection->send(submission.method + " /q/" + submission.id + " HTTP/1.1\r\nHost: jobs.example\r\n"
                              + "Content-Type: application/json\r\nHibiscusbridge-Deadline-Ms: " + std::to_string(callerTimeout.count)
                              + "\r\nContent-Length: " + std::to_string(submits ? body.size() : 0) + "\r\n\r\n" + (submits ? body : ""))) {
            continue;
        }
        lastJob = submits ? turn : lastJob;
        submission.status = connection->receive();
        submission.endedAt = clock.boot();
        const std::lock_guard lock(m_mutex);
        m_submissions.push_back(submission);
    }
}

std::vector<Submission> KeepAliveCallers::finish()
{
    m_stop = true;
    for (auto &it : m_threads) {
        it.join();
    }
    m_threads.clear();
    return m_submissions;
}

std::size_t KeepAliveCallers::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_submissions.size();
}

std::vector<Submission> unanswered(const std::vector<Submission> &submissions)
{
    std::vector<Submission> found;
    std::copy_if(submissions.begin(), submissions.end(), std::back_inserter(found), [](const Submission &it) {
        return it.status == 0 && it.endedAt - it.sentAt > unreadTime;
    });
    return found;
}

} // namespace hibiscusbridge
