// Stand-ins of the platform's store, its VM service and the workers.
#include "stand.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand
{

namespace chrono = std::chrono;

/// The store refuses a transaction that would wait longer for its part.
constexpr std::int64_t maxPartWaitMs = 1'000;
constexpr std::size_t maxReadRows = 500;
constexpr std::size_t maxListedEnds = 500;
constexpr std::int64_t heartbeatMs = 1'500;
constexpr std::int64_t maxHoldMs = 10'000;
constexpr std::int64_t maxWaitMs = 2'000;
constexpr std::int64_t moveMs = 1'500;
constexpr std::int64_t maintenanceMs = 2'000;
constexpr const char *callerHost = "jobs.example";

std::int64_t now()
{
    static const auto start = chrono::steady_clock::now();
    return chrono::duration_cast<chrono::milliseconds>(chrono::steady_clock::now() - start).count();
}

std::int64_t wall()
{
    return chrono::duration_cast<chrono::milliseconds>(chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(chrono::milliseconds(ms));
}

bool trouble()
{
    const char *const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

std::string host()
{
    return callerHost;
}

bool waitFor(const std::function<bool()> &condition, std::int64_t ms)
{
    const auto until = now() + ms;
    while (!condition()) {
        if (now() > until) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

Record::Record(const std::string &path)
    : m_out(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_out << now() << " ms  " << text << '\n';
    m_out.flush();
}

std::string base64(const std::string &bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = (bits << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k > bytes.size() ? '=' : digits[(bits >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    const auto valueOf = [](char c) -> int {
        if (c >= 'A' && c <= 'Z') {
            return c - 'A';
        }
        if (c >= 'a' && c <= 'z') {
            return c - 'a' + 26;
        }
        if (c >= '0' && c <= '9') {
            return c - '0' + 52;
        }
        return c == '+' ? 62 : c == '/' ? 63 : -1;
    };
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const int value = valueOf(c);
        if (value < 0) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return out;
}

static sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static int portOf(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

std::string freeAddress()
{
    // Below the range from which the system takes ports for outgoing connections: one of those could be in use by the time the entry
    // listens.
    constexpr int firstPort = 10'000;
    constexpr int lastPort = 30'000;
    static std::mt19937 random{std::random_device{}()};
    static std::set<int> taken;
    std::uniform_int_distribution<int> ports(firstPort, lastPort);
    while (true) {
        const int port = ports(random);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(port);
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(fd);
        if (isFree && taken.insert(port).second) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

static bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads one message with its body into `headers` and `body`; `buffer` keeps what follows. Returns the first line.
static std::string receive(int fd, std::string &buffer, std::map<std::string, std::string> &headers, std::string &body)
{
    std::array<char, 16384> chunk{};
    const auto more = [&] {
        const auto n = recv(fd, chunk.data(), chunk.size(), 0);
        if (n > 0) {
            buffer.append(chunk.data(), static_cast<std::size_t>(n));
        }
        return n > 0;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return {};
        }
    }
    const auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::string first;
    std::size_t at = 0;
    headers.clear();
    while (at <= head.size()) {
        const auto stop = std::min(head.find("\r\n", at), head.size());
        const auto line = head.substr(at, stop - at);
        at = stop + 2;
        if (first.empty()) {
            first = line;
            continue;
        }
        if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            const auto from = line.find_first_not_of(' ', colon + 1);
            headers[name] = from == std::string::npos ? std::string() : line.substr(from);
        }
    }
    const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length) {
        if (!more()) {
            return {};
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return first;
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = loopback(0);
    bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    listen(m_listener, 512);
    m_address = "127.0.0.1:" + std::to_string(portOf(m_listener));
    std::thread([this] { accept(); }).detach();
}

Server::~Server()
{
    shutdown(m_listener, SHUT_RDWR);
}

static void reset(int fd)
{
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void Server::accept()
{
    while (true) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EINTR || errno == ECONNABORTED || errno == EMFILE) {
                continue;
            }
            return;
        }
        if (m_refuses) {
            reset(fd);
            close(fd);
            continue;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(fd);
        }
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

void Server::cut()
{
    m_refuses = true;
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_connections) {
        reset(fd);
        shutdown(fd, SHUT_RDWR);
    }
}

void Server::resume()
{
    m_refuses = false;
}

void Server::serve(int fd)
{
    std::string buffer;
    while (true) {
        Request request;
        const auto first = receive(fd, buffer, request.headers, request.body);
        const auto space = first.find(' ');
        if (first.empty() || space == std::string::npos) {
            break;
        }
        request.method = first.substr(0, space);
        request.path = first.substr(space + 1, first.rfind(' ') - space - 1);
        if (const auto mark = request.path.find('?'); mark != std::string::npos) {
            request.query = request.path.substr(mark + 1);
            request.path.resize(mark);
        }
        const auto response = m_handler(request);
        if (response.mute) {
            // The connection delivers nothing further.
            std::array<char, 1024> rest{};
            while (recv(fd, rest.data(), rest.size(), 0) > 0) { }
            break;
        }
        if (response.drop || m_refuses) {
            reset(fd);
            break;
        }
        if (!sendAll(fd,
                     "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(fd);
    close(fd);
}

Response call(const std::string &address,
              const std::string &method,
              const std::string &path,
              const std::string &body,
              const std::map<std::string, std::string> &headers,
              std::int64_t timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{.tv_sec = timeoutMs / 1000, .tv_usec = static_cast<suseconds_t>(timeoutMs % 1000 * 1000)};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    auto to = loopback(std::stoi(address.substr(address.rfind(':') + 1)));
    Response response{.status = 0};
    if (connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        if (!headers.contains("Host")) {
            text += "Host: " + address + "\r\n";
        }
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        std::map<std::string, std::string> answerHeaders;
        if (sendAll(fd, text)) {
            const auto first = receive(fd, buffer, answerHeaders, response.body);
            response.status = first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0;
        }
    }
    close(fd);
    return response;
}

static std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

static std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t at = 0;
    while (at < query.size()) {
        const auto stop = std::min(query.find('&', at), query.size());
        const auto pair = query.substr(at, stop - at);
        if (pair.starts_with(name + "=")) {
            return unescape(pair.substr(name.size() + 1));
        }
        at = stop + 1;
    }
    return {};
}

static std::int64_t queryNumber(const std::string &query, const std::string &name)
{
    const auto text = queryValue(query, name);
    return text.empty() ? 0 : std::stoll(text);
}

// The store.

Store::Store(Record &record)
    : m_record(record)
    , m_server([this](const Request &request) { return handle(request); })
{
}

void Store::setFate(Fate fate)
{
    const std::lock_guard lock(m_mutex);
    m_fate = std::move(fate);
}

Json Store::head() const
{
    return {{"row_version", m_version}, {"now_ms", now()}};
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_rows[{table, "", key}] = {base64(value), ++m_version, false};
    m_tableVersions[table] = m_version;
    m_changed.notify_all();
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_rows.find({table, "", key}); it != m_rows.end() && !it->second.removed) {
        it->second = {"", ++m_version, true};
        m_tableVersions[table] = m_version;
        m_changed.notify_all();
    }
}

std::string Store::get(const std::string &table, const std::string &part, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_rows.find({table, part, key});
    return it != m_rows.end() && !it->second.removed ? fromBase64(it->second.value) : std::string();
}

void Store::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    m_forgottenUpTo = m_version;
    m_record.line("store: the history is dropped");
    m_changed.notify_all();
}

Response Store::handle(const Request &request)
{
    if (isDown) {
        return {.status = 503};
    }
    if (request.path == "/-/rows-tx") {
        return transact(request);
    }
    if (request.path == "/-/rows-get") {
        return read(request);
    }
    return request.path == "/-/rows-feed" ? feed(request) : Response{.status = 404};
}

Response Store::apply(const Json &tx)
{
    auto answer = head();
    answer["rows"] = Json::array();
    bool met = true;
    for (const auto &it : tx.at("expected_rev")) {
        const Key key{it.value("table", ""), it.value("part", ""), it.value("key", "")};
        const auto row = m_rows.find(key);
        const bool exists = row != m_rows.end() && !row->second.removed;
        met = met && (exists ? row->second.version : 0) == it.value("row_version", std::uint64_t{0});
        if (exists) {
            auto found = it;
            found["value"] = row->second.value;
            found["row_version"] = row->second.version;
            answer["rows"].push_back(found);
        }
    }
    if (!met) {
        return {.status = 412, .body = answer.dump()};
    }
    ++m_version;
    for (const auto &it : tx.at("puts")) {
        m_rows[{it.value("table", ""), it.value("part", ""), it.value("key", "")}] = {it.value("value", ""), m_version, false};
        m_tableVersions[it.value("table", "")] = m_version;
    }
    for (const auto &it : tx.at("remove")) {
        m_rows[{it.value("table", ""), it.value("part", ""), it.value("key", "")}] = {"", m_version, true};
        m_tableVersions[it.value("table", "")] = m_version;
    }
    m_changed.notify_all();
    return {.body = head().dump()};
}

Response Store::transact(const Request &request)
{
    const auto tx = Json::parse(request.body, nullptr, false);
    if (!tx.is_object()) {
        return {.status = 400};
    }
    const auto refuse = [this](int status, const std::string &reason) {
        m_record.line("store: transaction refused with " + std::to_string(status) + ": " + reason);
        return Response{.status = status, .body = Json{{"error", reason}}.dump()};
    };
    if (request.body.size() > m_limits.callBytes) {
        return refuse(413, "the call has " + std::to_string(request.body.size()) + " bytes, the limit is 1 MB");
    }
    if (tx.at("expected_rev").size() + tx.at("puts").size() + tx.at("remove").size() > m_limits.callEntries) {
        return refuse(400, "more than 100 entries");
    }
    std::set<std::string> parts;
    for (const auto *const list : {"expected_rev", "puts", "remove"}) {
        for (const auto &it : tx.at(list)) {
            parts.insert(it.value("part", ""));
        }
    }
    if (parts.size() > 1 && !tx.value("cross_shard", false)) {
        return refuse(400, "more than one part");
    }
    for (const auto &it : tx.at("puts")) {
        const auto table = it.value("table", "");
        if (table == "op" || table == "servers") {
            return refuse(403, "the system may not write to this table");
        }
        const auto bytes = it.value("value", "").size() * 3 / 4;
        if (bytes > m_limits.rowBytes + 2) {
            return refuse(413,
                          "the value of row " + table + "/" + it.value("part", "") + "/" + it.value("key", "") + " has "
                              + std::to_string(bytes) + " bytes, the limit is " + std::to_string(m_limits.rowBytes));
        }
    }
    std::unique_lock lock(m_mutex);
    const auto fate = m_fate ? m_fate(tx) : 0;
    auto &busyUntil = m_partBusyUntil[parts.empty() ? std::string() : *parts.begin()];
    if (busyUntil - now() > maxPartWaitMs) {
        return {.status = 429};
    }
    busyUntil = std::max(busyUntil, now()) + m_limits.txMs * (parts.size() > 1 ? 2 : 1);
    const auto wait = busyUntil - now();
    lock.unlock();
    sleepMs(wait);
    lock.lock();
    if (fate == 0) {
        return apply(tx);
    }
    if (fate < 0) {
        apply(tx);
    } else {
        std::thread([this, tx, fate] {
            sleepMs(fate);
            const std::lock_guard late(m_mutex);
            const auto status = apply(tx).status;
            m_record.line("store: a transaction without an answer is carried out late: " + std::to_string(status));
        }).detach();
    }
    return {.mute = true};
}

Response Store::read(const Request &request)
{
    const auto table = queryValue(request.query, "table");
    const auto part = queryValue(request.query, "part");
    const auto to = queryValue(request.query, "target");
    const auto wanted = queryNumber(request.query, "limit");
    const std::size_t limit = wanted > 0 ? std::min<std::size_t>(static_cast<std::size_t>(wanted), maxReadRows) : maxReadRows;
    const std::lock_guard lock(m_mutex);
    auto answer = head();
    answer["rows"] = Json::array();
    answer["has_more"] = false;
    std::size_t bytes = 0;
    for (auto it = m_rows.lower_bound({table, part, queryValue(request.query, "from")}); it != m_rows.end(); ++it) {
        const auto &[rowTable, rowPart, key] = it->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
            break;
        }
        if (it->second.removed) {
            continue;
        }
        bytes += it->second.value.size() + 100;
        if (answer["rows"].size() >= limit || (bytes > m_limits.callBytes && !answer["rows"].empty())) {
            answer["has_more"] = true;
            break;
        }
        answer["rows"].push_back(
            {{"table", table}, {"part", part}, {"key", key}, {"value", it->second.value}, {"row_version", it->second.version}});
    }
    return {.body = answer.dump()};
}

Response Store::feed(const Request &request)
{
    const auto table = queryValue(request.query, "table");
    const auto after = static_cast<std::uint64_t>(queryNumber(request.query, "after"));
    const auto wait = queryNumber(request.query, "wait_ms");
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, chrono::milliseconds(wait), [&] { return m_tableVersions[table] > after || after < m_forgottenUpTo; });
    if (after < m_forgottenUpTo) {
        return {.status = 410};
    }
    auto answer = head();
    std::multimap<std::uint64_t, Json> changed;
    for (auto it = m_rows.lower_bound({table, "", ""}); it != m_rows.end() && std::get<0>(it->first) == table; ++it) {
        if (it->second.version <= after) {
            continue;
        }
        Json row{{"table", table}, {"part", std::get<1>(it->first)}, {"key", std::get<2>(it->first)}, {"row_version", it->second.version}};
        it->second.removed ? row["removed"] = true : row["value"] = it->second.value;
        changed.emplace(it->second.version, std::move(row));
    }
    answer["rows"] = Json::array();
    for (auto &[version, row] : changed) {
        answer["rows"].push_back(std::move(row));
    }
    return {.body = answer.dump()};
}

// Workers.

static Response refusal(Json head, const char *reason)
{
    head["reason"] = reason;
    return {.status = 409, .body = head.dump()};
}

Worker::Worker(Fleet &fleet, std::string id, std::string machine, std::string service, std::string rack, Resources capacity)
    : m_fleet(fleet)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_service(std::move(service))
    , m_rack(std::move(rack))
    , m_capacity(capacity)
    , m_born(wall())
    , m_bornSteady(now())
    , m_server(std::make_unique<Server>([this](const Request &request) { return handle(request); }))
{
}

std::int64_t Worker::clock() const
{
    return now() - m_bornSteady + 1'000;
}

Json Worker::head() const
{
    return {{"clock_ms", clock()}, {"born", m_born}};
}

Json Worker::registration()
{
    const std::lock_guard lock(m_mutex);
    return {{"service", m_service},
            {"address", m_server->address()},
            {"zone", "a"},
            {"version", "1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"seq_no", ++m_sequence},
            {"born", m_born},
            {"machine", m_machine},
            {"capacity", {{"cpu", m_capacity.cpu}, {"mem_mb", m_capacity.mem}, {"gpu", 0}}},
            {"labels", {"a", m_rack}}};
}

std::size_t Worker::running()
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

std::set<std::string> Worker::runningTasks()
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> tasks;
    for (const auto &[task, run] : m_runs) {
        tasks.insert(task);
    }
    return tasks;
}

Response Worker::handle(const Request &request)
{
    std::unique_lock lock(m_mutex);
    if (!m_up) {
        return {.drop = true};
    }
    if (const auto it = request.headers.find("hibiscusbridge-expect-instance"); it != request.headers.end() && it->second != m_id) {
        return {.status = 421, .body = "{}"};
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return {.status = 400, .body = "{}"};
    }
    if (request.path == "/-/hold") {
        return hold(body, lock);
    }
    if (request.path == "/-/run-start") {
        const auto response = start(body);
        lock.unlock();
        if (response.status == 200 && onStart) {
            onStart(body.value("task", ""), body.value("run", 0));
        }
        return m_up ? response : Response{.drop = true};
    }
    if (request.path == "/-/run-stop") {
        return stop(body);
    }
    if (request.path == "/-/pace") {
        return isFenced(body) ? refusal(head(), "fence") : Response{.body = head().dump()};
    }
    return {.status = 404, .body = "{}"};
}

bool Worker::isFenced(const Json &body)
{
    const auto fence = body.value("fencing_token", std::uint64_t{0});
    m_fence = std::max(m_fence, fence);
    return fence < m_fence;
}

void Worker::raiseDeadline(const Json &body)
{
    if (const auto deadline = body.value("deadline_ms", std::int64_t{0}); deadline > 0) {
        m_deadline = std::max(m_deadline, std::min(deadline, clock() + maxHoldMs));
    }
}

Response Worker::start(const Json &body)
{
    const auto task = body.value("task", "");
    const auto number = body.value("run", 0);
    if (isFenced(body)) {
        return refusal(head(), "fence");
    }
    if (body.value("deadline_ms", std::int64_t{0}) <= clock()) {
        return refusal(head(), "late");
    }
    raiseDeadline(body);
    if (const auto it = m_runs.find(task); it != m_runs.end()) {
        return it->second.number == number ? Response{.body = head().dump()} : refusal(head(), "old");
    }
    if (const auto it = m_highestOver.find(task); it != m_highestOver.end() && number <= it->second) {
        return refusal(head(), "old");
    }
    Run run{.number = number, .startedAt = now()};
    const auto spec = body.value("spec", "");
    const auto at = spec.find("ms=");
    run.lasts = at == std::string::npos;
    run.endsAt = run.lasts ? 0 : now() + std::stoll(spec.substr(at + 3));
    m_runs[task] = run;
    m_fleet.log({.at = now(), .kind = Event::Kind::Started, .worker = m_id, .task = task, .run = number});
    return {.body = head().dump()};
}

void Worker::end(std::string task, const std::string &how)
{
    const auto it = m_runs.find(task);
    if (it == m_runs.end()) {
        return;
    }
    const auto run = it->second.number;
    m_runs.erase(it);
    m_highestOver[task] = std::max(m_highestOver[task], run);
    m_ends.push_back({++m_lastEnd, task, run, how});
    m_fleet.log({.at = now(), .kind = Event::Kind::Ended, .worker = m_id, .task = task, .run = run, .how = how, .number = m_lastEnd});
    m_changed.notify_all();
}

Response Worker::stop(const Json &body)
{
    if (isFenced(body)) {
        return refusal(head(), "fence");
    }
    const auto task = body.value("task", "");
    const auto number = body.value("run", 0);
    if (const auto it = m_runs.find(task); it != m_runs.end() && it->second.number == number) {
        end(task, "stopped");
    } else {
        m_highestOver[task] = std::max(m_highestOver[task], number);
    }
    return {.body = head().dump()};
}

Response Worker::hold(const Json &body, std::unique_lock<std::mutex> &lock)
{
    if (isFenced(body)) {
        return refusal(head(), "fence");
    }
    raiseDeadline(body);
    const auto cursor = body.value("ack_cursor", std::int64_t{0});
    const auto forgotten = std::erase_if(m_ends, [&](const End &it) { return it.number <= cursor; });
    if (forgotten > 0) {
        m_fleet.log({.at = now(), .kind = Event::Kind::Acknowledged, .worker = m_id, .number = cursor});
    }
    const auto wait = std::min(body.value("wait_ms", std::int64_t{0}), maxWaitMs);
    const auto life = m_life;
    m_changed.wait_for(lock, chrono::milliseconds(wait), [&] { return !m_ends.empty() || !m_up || life != m_life; });
    if (!m_up || life != m_life) {
        return {.drop = true};
    }
    auto answer = head();
    answer["running"] = Json::array();
    answer["ended_runs"] = Json::array();
    for (const auto &[task, run] : m_runs) {
        answer["running"].push_back({task, run.number, "", run.lasts && now() - run.startedAt > 300 ? 100 : 50, 0});
    }
    for (const auto &it : m_ends) {
        if (answer["ended_runs"].size() == maxListedEnds) {
            break;
        }
        answer["ended_runs"].push_back({it.number, it.task, it.run, it.how, ""});
    }
    return {.body = answer.dump()};
}

void Worker::tick()
{
    const std::lock_guard lock(m_mutex);
    if (!m_up) {
        return;
    }
    std::vector<std::string> done;
    for (const auto &[task, run] : m_runs) {
        if (!run.lasts && now() >= run.endsAt) {
            done.push_back(task);
        }
    }
    for (const auto &it : done) {
        end(it, "done");
    }
    if (!m_runs.empty() && clock() > m_deadline) {
        m_fleet.log({.at = now(), .kind = Event::Kind::LeaseLapsed, .worker = m_id});
        while (!m_runs.empty()) {
            end(m_runs.begin()->first, "lapsed");
        }
    }
}

std::string Worker::machineState()
{
    const std::lock_guard lock(m_mutex);
    return m_machineState;
}

void Worker::crash(const std::string &state)
{
    {
        const std::lock_guard lock(m_mutex);
        m_up = false;
        m_machineState = state;
        ++m_life;
        m_runs.clear();
        m_ends.clear();
        m_changed.notify_all();
        m_fleet.log({.at = now(), .kind = Event::Kind::Crashed, .worker = m_id});
    }
    m_server->cut();
}

void Worker::restart(const std::string &id, const std::string &service)
{
    {
        const std::lock_guard lock(m_mutex);
        m_id = id;
        m_service = service;
        m_born = wall();
        m_bornSteady = now();
        m_sequence = 0;
        m_fence = 0;
        m_deadline = 0;
        m_runs.clear();
        m_ends.clear();
        m_lastEnd = 0;
        m_highestOver.clear();
        m_machineState = "up";
        m_up = true;
    }
    m_server->resume();
    m_fleet.announce(*this);
}

// Fleet.

Fleet::Fleet(Record &record, Store &store)
    : m_record(record)
    , m_store(store)
    , m_cloud([this](const Request &request) { return cloud(request); })
    , m_thread([this] { run(); })
{
}

Fleet::~Fleet()
{
    m_stopped = true;
    m_thread.join();
}

Worker &Fleet::add(
    const std::string &id, const std::string &machine, const std::string &service, const std::string &rack, Resources capacity)
{
    auto worker = std::make_unique<Worker>(*this, id, machine, service, rack, capacity);
    auto &added = *worker;
    {
        const std::lock_guard lock(m_mutex);
        m_workers.push_back(std::move(worker));
    }
    announce(added);
    return added;
}

void Fleet::announce(Worker &worker)
{
    m_store.put("servers", worker.id(), worker.registration().dump());
}

void Fleet::withdraw(const std::string &id)
{
    m_store.remove("servers", id);
}

void Fleet::log(Event event)
{
    static constexpr std::array names{"starts", "ended", "ends acknowledged", "lease lapsed", "crashed"};
    m_record.line("worker " + event.worker + ": " + names.at(static_cast<std::size_t>(event.kind))
                  + (event.task.empty() ? "" : " " + event.task + " run " + std::to_string(event.run))
                  + (event.how.empty() ? "" : " " + event.how) + (event.number > 0 ? " (end " + std::to_string(event.number) + ")" : ""));
    const std::lock_guard lock(m_mutex);
    m_events.push_back(std::move(event));
}

std::vector<Event> Fleet::events()
{
    const std::lock_guard lock(m_mutex);
    return m_events;
}

std::vector<Worker *> Fleet::allWorkers()
{
    std::vector<Worker *> workers;
    const std::lock_guard lock(m_mutex);
    for (const auto &it : m_workers) {
        workers.push_back(it.get());
    }
    return workers;
}

void Fleet::run()
{
    std::int64_t nextHeartbeat = now() + heartbeatMs;
    while (!m_stopped) {
        sleepMs(10);
        const auto workers = allWorkers();
        for (auto *const it : workers) {
            it->tick();
        }
        if (now() >= nextHeartbeat) {
            nextHeartbeat += heartbeatMs;
            for (auto *const it : workers) {
                if (it->isUp()) {
                    announce(*it);
                }
            }
        }
    }
}

Response Fleet::cloud(const Request &request)
{
    if (request.path == "/-/machines") {
        sleepMs(cloudDelayMs);
        Json machines = Json::array();
        for (auto *const it : allWorkers()) {
            machines.push_back({{"machine", it->machine()},
                                {"pool", it->service()},
                                {"state", it->machineState()},
                                {"zone", "a"},
                                {"labels", {"a", it->rack()}},
                                {"capacity", {{"cpu", it->capacity().cpu}, {"mem_mb", it->capacity().mem}, {"gpu", 0}}},
                                {"id", it->id()}});
        }
        return {.body = Json{{"machines", machines}, {"next_token", nullptr}}.dump()};
    }
    if (request.path == "/-/machine-move" || request.path == "/-/machine-upkeep") {
        auto response = order(request);
        sleepMs(cloudDelayMs);
        return response;
    }
    return {.status = 404};
}

std::vector<Fleet::Order> Fleet::orders()
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

Response Fleet::order(const Request &request)
{
    const auto body = Json::parse(request.body, nullptr, false);
    const auto machine = body.value("machine", "");
    const auto wave = body.value("wave", std::int64_t{0});
    const bool moves = request.path == "/-/machine-move";
    const auto fence = std::stoull(request.headers.at("hibiscusbridge-fencing-token"));
    const auto holder = request.headers.at("hibiscusbridge-lease-holder");
    const auto what = moves ? "move to " + body.value("pool", "") : "upkeep of wave " + std::to_string(wave);
    m_record.line("platform: order for " + machine + " by " + holder + " with fence " + std::to_string(fence) + ": " + what);
    Worker *worker = nullptr;
    {
        const std::lock_guard lock(m_mutex);
        m_orders.push_back({now(), machine, holder, fence, what});
        for (const auto &it : m_workers) {
            worker = it->machine() == machine ? it.get() : worker;
        }
        if (!worker) {
            return {.status = 400};
        }
        if (fence < m_machineFences[machine]) {
            return {.status = 409, .body = R"({"reason":"fence"})"};
        }
        m_machineFences[machine] = fence;
        if ((moves && worker->service() == body.value("pool", "")) || (!moves && m_maintained.contains({wave, machine}))) {
            return {.body = "{}"};
        }
        if (!worker->isUp()) {
            return {.status = 409, .body = R"({"reason":"busy"})"};
        }
        if (!moves) {
            m_maintained.insert({wave, machine});
        }
    }
    const auto old = worker->id();
    const auto pool = moves ? body.value("pool", "") : worker->service();
    worker->crash(moves ? "moving" : "upkeep");
    withdraw(old);
    std::thread([worker, old, pool, ms = moves ? moveMs : maintenanceMs] {
        sleepMs(ms);
        worker->restart(old + "m", pool);
    }).detach();
    return {.body = "{}"};
}

// Entries.

Entry::Entry(Record &record, std::string name, const std::string &store, const std::string &cloud, std::string folder, EntryOptions options)
    : m_record(record)
    , m_name(std::move(name))
    , m_folder(std::move(folder))
    , m_callers(freeAddress())
    , m_ready(freeAddress())
    , m_peers(freeAddress())
{
    std::ofstream out(m_folder + "/" + m_name + ".toml");
    out << "name = \"" << m_name << "\"\nzone = \"a\"\nregion = \"r\"\ncaller_address = \"" << m_callers << "\"\nready_address = \""
        << m_ready << "\"\npeer_address = \"" << m_peers << "\"\nmetrics_port = 0\n\n[limits]\ncpu_share = " << options.cpuShare << "\n"
        << "cpu_speed = 1\n\n[platform]\nstore_address = \"" << store << "\"\nstore_row_bytes = 65536\nvm_address = \"" << cloud
        << "\"\nvm_actions_per_s = 64.0\nvm_lists_per_s = 64.0\nadvice_address = \"\"\n\n[bounds]\nhold_max_ms = 10000\ndrain_ms = 2000\n"
        << "stop_timeout_ms = 200\njob_status_s = " << options.jobStatusSeconds
        << "\nmove_s = 1.5\nmaintenance_s = 2\nnotice_ms = 4500\nstop_grace_s = 6\n"
        << "order_takeover_ms = 3000\nremote_factor = 1.5\nharm_ms = 4000\n";
}

Entry::~Entry()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        waitForEnd();
    }
}

void Entry::start()
{
    const auto settings = "HIBISCUSBRIDGE_CONFIG=" + m_folder + "/" + m_name + ".toml";
    const auto log = m_folder + "/" + m_name + ".log";
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const char *const program = "target/hibiscusbridge";
    const char *const arguments[] = {program, "entry", nullptr};
    const char *const environment[] = {settings.c_str(), "PATH=/usr/bin:/bin", nullptr};
    m_pid = fork();
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        _exit(127);
    }
    close(out);
    m_record.line("entry " + m_name + ": started, process " + std::to_string(m_pid));
}

void Entry::signal(int number)
{
    m_record.line("entry " + m_name + ": signal " + std::to_string(number));
    kill(m_pid, number);
}

void Entry::waitForEnd()
{
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
}

bool Entry::isReady() const
{
    return call(m_ready, "GET", "/-/readiness").status == 200;
}

Deployment::Deployment(const std::string &recordPath, std::size_t count, EntryOptions options)
    : record(recordPath)
    , store(record)
    , fleet(record, store)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *const given = std::getenv("STAND_FOLDER");
    std::string pattern = given ? std::string(given) : (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder = given ? pattern : std::string(mkdtemp(pattern.data()));
    for (std::size_t i = 1; i <= count; ++i) {
        entries.push_back(
            std::make_unique<Entry>(record, "entry-" + std::to_string(i), store.address(), fleet.cloudAddress(), folder, options));
    }
}

Deployment::~Deployment()
{
    entries.clear();
    if (!std::getenv("STAND_FOLDER")) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    }
}

void Deployment::start()
{
    for (const auto &it : entries) {
        it->start();
    }
    const bool ready =
        waitFor([&] { return std::all_of(entries.begin(), entries.end(), [](const auto &it) { return it->isReady(); }); }, 15'000);
    if (!ready) {
        record.line("the entries are not ready");
        std::puts("the entries are not ready");
        std::fflush(stdout);
        entries.clear();
        _exit(2);
    }
    record.line("all entries are ready");
}

void Deployment::configure(std::int64_t version,
                           const std::vector<std::tuple<std::string, std::string, std::string>> &routes,
                           const std::vector<std::string> &services)
{
    Json json{{"version", version}, {"routes", Json::array()}, {"services", Json::array()}, {"limits", Json::object()}};
    for (const auto &[name, prefix, service] : routes) {
        json["routes"].push_back({{"name", name},
                                  {"host", callerHost},
                                  {"path_prefix", prefix},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", 3000},
                                  {"target_latency_ms", 600},
                                  {"priority", 0},
                                  {"service", service},
                                  {"max_attempts", 3},
                                  {"stretch", 1.6}});
    }
    for (const auto &it : services) {
        json["services"].push_back({{"name", it}, {"enforces_capacity", false}});
    }
    store.put("op", "config", json.dump());
    record.line("operator: configuration " + json.dump());
}

Response Deployment::client(std::size_t entry, const std::string &method, const std::string &path, const std::string &body)
{
    const auto &to = *entries.at(entry);
    const auto sent = now();
    const auto answer = call(to.callers(),
                             method,
                             path,
                             body,
                             {{"Host", callerHost}, {"Content-Type", "application/json"}, {"Hibiscusbridge-Deadline-Ms", "3000"}});
    record.line("client: " + method + " " + path + " to " + to.name() + " at " + std::to_string(sent) + " ms -> "
                + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body));
    return answer;
}

bool Deployment::submit(std::size_t entry, const std::string &path, const std::string &body, int tries)
{
    for (int i = 0; i < tries; ++i) {
        if (client((entry + static_cast<std::size_t>(i)) % entries.size(), "POST", path, body).status == 200) {
            return true;
        }
        sleepMs(300);
    }
    return false;
}

std::string Deployment::state(std::size_t entry, const std::string &path)
{
    const auto answer = client(entry, "GET", path);
    if (answer.status != 200) {
        return std::to_string(answer.status);
    }
    return Json::parse(answer.body, nullptr, false).value("state", "");
}

std::size_t Deployment::owner(const std::string &shard)
{
    const auto claim = Json::parse(store.get("claims", shard, "owner"), nullptr, false);
    if (claim.is_object()) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (entries[i]->name() == claim.value("holder", "")) {
                return i;
            }
        }
    }
    return std::string::npos;
}

} // namespace stand
