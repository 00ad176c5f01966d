// HTTP client by libcurl's multi interface.
#include "adapters/httpclient.hpp"

#include "adapters/httpserver.hpp"

#include <curl/curl.h>
#include <map>
#include <unistd.h>
#include <vector>

namespace hibiscusbridge
{

struct HttpClient::Transfer {
    TargetRequest request;
    TargetPort::Callback callback;
    TargetResult result;
    Multi *multi = nullptr;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t headerBytes = 0;
    /// The request was allowed to leave; bytes may have been sent.
    bool sent = false;

    ~Transfer();
    void prepare(const HttpClientOptions &options);
    void setBody();
    void finish(CURLcode code);
    bool bodyIsFramed() const;
};

namespace
{

struct WaitingCall {
    TargetRequest request;
    TargetPort::Callback callback;
    Millis waitsUntil; ///< boot clock
};

/// Priority and order of arrival.
using WaitingKey = std::pair<CallPriority, std::uint64_t>;

/// An address with a limited number of connections.
struct Destination {
    long transfers = 0;
    /// Calls beyond the connections wait here: libcurl looks at all that wait in it whenever one transfer ends.
    std::map<WaitingKey, WaitingCall> waiting;
};

} // namespace

struct HttpClient::Multi {
    EventLoop &loop;
    HttpClientOptions options;
    Clock clock = systemClock();
    CURLM *handle = nullptr;
    std::map<CURL *, std::unique_ptr<Transfer>> transfers;
    std::map<std::string, Destination> destinations;
    std::uint64_t lastWaiting = 0;
    /// Descriptors in the loop. Connections that wait for their next transfer stay there, since each request would
    /// otherwise add and remove its descriptor.
    enum class Use { Transfer, None };
    std::map<int, Use> sockets;
    /// Handles for the next transfers, with their buffers.
    std::vector<CURL *> spareHandles;
    /// Counts timer settings; a timer of an earlier setting is stale.
    std::uint64_t timerRound = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    void onSocket(int fd, int what);
    void setTimer(long delayMs);
    void act(curl_socket_t fd, int flags);
    /// Returns true if calls that waited were started.
    bool collectFinished();
    void start(TargetRequest request, TargetPort::Callback callback);
    void wait(Destination &destination, TargetRequest request, TargetPort::Callback callback);
    bool startWaiting(const std::string &address);
    void reject(TargetPort::Callback callback, std::string error);
};

/// More idle handles than this are freed; a handle keeps about 20 KB.
constexpr std::size_t maxSpareHandles = 64;

HttpClient::Transfer::~Transfer()
{
    if (multi->spareHandles.size() < maxSpareHandles) {
        curl_easy_reset(easy);
        multi->spareHandles.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
    curl_slist_free_all(headers);
}

template<typename TransferType>
static std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &transfer = *static_cast<TransferType *>(cls);
    if (transfer.result.body.size() + size * count > transfer.maxBodyBytes) {
        transfer.result.error = "response body is too large";
        return 0;
    }
    transfer.result.body.append(data, size * count);
    return size * count;
}

static std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

template<typename TransferType>
static std::size_t writeHeader(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &transfer = *static_cast<TransferType *>(cls);
    const std::string_view line(data, size * count);
    transfer.headerBytes += line.size();
    if (transfer.headerBytes > transfer.maxHeaderBytes) {
        transfer.result.error = "response headers are too large";
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        transfer.result.headers.clear(); // Headers of an interim response.
        return line.size();
    }
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        transfer.result.headers.push_back({std::string(trim(line.substr(0, colon))), std::string(trim(line.substr(colon + 1)))});
    }
    return line.size();
}

/// Called when the connection stands and before the first byte of the request is sent; also before a retry by libcurl.
template<typename TransferType>
static int beforeSend(void *cls, char *, char *, int, int)
{
    auto &transfer = *static_cast<TransferType *>(cls);
    if (transfer.sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.request.mayStillSend && !transfer.request.mayStillSend()) {
        transfer.result.error = "no longer allowed to send";
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.sent = true;
    return CURL_PREREQFUNC_OK;
}

void HttpClient::Transfer::setBody()
{
    const auto &method = request.method;
    if (method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (method == "GET" && request.body.empty()) {
        return;
    }
    if (!request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

/// Takes the socket out of the loop before it is closed: a closed descriptor can't be removed from the reactor any more,
/// which would go on to use a handler that has been freed.
template<typename MultiType>
static int closeSocket(void *cls, curl_socket_t fd)
{
    auto &multi = *static_cast<MultiType *>(cls);
    multi.sockets.erase(fd);
    multi.loop.unwatch(fd);
    return close(fd);
}

void HttpClient::Transfer::prepare(const HttpClientOptions &options)
{
    maxBodyBytes = options.maxBodyBytes;
    maxHeaderBytes = options.maxHeaderBytes;
    if (multi->spareHandles.empty()) {
        easy = curl_easy_init();
    } else {
        easy = multi->spareHandles.back();
        multi->spareHandles.pop_back();
    }
    const auto url = "http://" + request.address + request.path;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(request.timeout.count, 1)));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(options.connectTimeout.count));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(options.maxIdleAge.count / 1000));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, writeBody<Transfer>);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, writeHeader<Transfer>);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeSend<Transfer>);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket<Multi>);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, multi);
    setBody();
    headers = curl_slist_append(headers, "Expect:");
    if (headerValue(request.headers, "Content-Type").empty()) {
        headers = curl_slist_append(headers, "Content-Type:");
    }
    for (const auto &[name, value] : request.headers) {
        const auto line = value.empty() ? name + ";" : name + ": " + value;
        headers = curl_slist_append(headers, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
}

/// A body that ends with the connection cannot be told from a truncated one.
bool HttpClient::Transfer::bodyIsFramed() const
{
    const bool noBody = request.method == "HEAD" || result.status == 204 || result.status == 304;
    return noBody || !headerValue(result.headers, "Content-Length").empty() || !headerValue(result.headers, "Transfer-Encoding").empty();
}

void HttpClient::Transfer::finish(CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
    if (code == CURLE_OK && bodyIsFramed()) {
        result.outcome = TargetOutcome::Answered;
    } else {
        result.outcome = sent ? TargetOutcome::Unknown : TargetOutcome::NotSent;
        result.body.clear();
    }
    if (result.outcome != TargetOutcome::Answered && result.error.empty()) {
        result.error = code == CURLE_OK ? "response has no length" : curl_easy_strerror(code);
    }
}

void HttpClient::Multi::act(curl_socket_t fd, int flags)
{
    int running = 0;
    curl_multi_socket_action(handle, fd, flags, &running);
    // Started calls are sent now: a round of the loop for each would add up at a late owner.
    while (collectFinished()) {
        curl_multi_socket_action(handle, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void HttpClient::Multi::onSocket(int fd, int what)
{
    if (what == CURL_POLL_REMOVE) {
        sockets[fd] = Use::None;
        return;
    }
    sockets[fd] = Use::Transfer;
    const FdInterest interest{.read = (what & CURL_POLL_IN) != 0, .write = (what & CURL_POLL_OUT) != 0};
    loop.watch(fd, interest, [this, fd](FdInterest ready) {
        if (const auto it = sockets.find(fd); it != sockets.end() && it->second == Use::None) {
            // The other side has closed an idle connection; libcurl notices before it uses the connection again.
            sockets.erase(it);
            return loop.unwatch(fd);
        }
        act(fd, (ready.read ? CURL_CSELECT_IN : 0) | (ready.write ? CURL_CSELECT_OUT : 0));
    });
}

void HttpClient::Multi::setTimer(long delayMs)
{
    const auto round = ++timerRound;
    if (delayMs < 0) {
        return;
    }
    loop.timers().after({delayMs}, [this, round, stillAlive = alive] {
        if (*stillAlive && round == timerRound) {
            act(CURL_SOCKET_TIMEOUT, 0);
        }
    });
}

bool HttpClient::Multi::collectFinished()
{
    bool started = false;
    int left = 0;
    while (const CURLMsg *const message = curl_multi_info_read(handle, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const auto code = message->data.result;
        auto node = transfers.extract(message->easy_handle);
        curl_multi_remove_handle(handle, node.key());
        auto &transfer = *node.mapped();
        transfer.finish(code);
        // The callback may send again or destroy the client, neither of which libcurl allows inside its calls.
        loop.post(
            [callback = std::move(transfer.callback), result = std::move(transfer.result)]() mutable { callback(std::move(result)); });
        if (const auto it = destinations.find(transfer.request.address); it != destinations.end()) {
            --it->second.transfers;
            started = startWaiting(it->first) || started;
        }
    }
    return started;
}

void HttpClient::Multi::start(TargetRequest request, TargetPort::Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfer->multi = this;
    transfer->prepare(options);
    CURL *const easy = transfer->easy;
    transfers.emplace(easy, std::move(transfer));
    curl_multi_add_handle(handle, easy);
}

void HttpClient::Multi::reject(TargetPort::Callback callback, std::string error)
{
    loop.post([callback = std::move(callback), error = std::move(error)]() mutable {
        callback({.outcome = TargetOutcome::NotSent, .error = std::move(error)});
    });
}

void HttpClient::Multi::wait(Destination &destination, TargetRequest request, TargetPort::Callback callback)
{
    if (request.priority != CallPriority::High && destination.waiting.size() >= options.maxWaitingPerAddress) {
        return reject(std::move(callback),
                      std::to_string(destination.waiting.size()) + " calls wait for a connection to " + request.address);
    }
    const WaitingKey key{request.priority, ++lastWaiting};
    const auto timeout = request.timeout;
    loop.timers().after(timeout, [this, stillAlive = alive, key, address = request.address] {
        const auto it = *stillAlive ? destinations.find(address) : destinations.end();
        if (!*stillAlive || it == destinations.end()) {
            return;
        }
        if (auto call = it->second.waiting.extract(key); !call.empty()) {
            reject(std::move(call.mapped().callback), "no connection became free in time");
        }
    });
    destination.waiting.emplace(key, WaitingCall{std::move(request), std::move(callback), clock.boot() + timeout});
}

/// Starts the calls that wait for one of the connections of the address, as far as there are free ones. Returns true if it started one.
bool HttpClient::Multi::startWaiting(const std::string &address)
{
    bool started = false;
    const auto it = destinations.find(address);
    while (it->second.transfers < options.maxConnectionsPerAddress && !it->second.waiting.empty()) {
        auto call = std::move(it->second.waiting.extract(it->second.waiting.begin()).mapped());
        if (call.waitsUntil <= clock.boot()) {
            reject(std::move(call.callback), "no connection became free in time");
        } else if (call.request.mayStillSend && !call.request.mayStillSend()) {
            reject(std::move(call.callback), "no longer allowed to send");
        } else {
            ++it->second.transfers;
            start(std::move(call.request), std::move(call.callback));
            started = true;
        }
    }
    if (it->second.transfers == 0) {
        destinations.erase(it);
    }
    return started;
}

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : m_multi(new Multi{.loop = loop, .options = options})
{
    static const CURLcode globalInit = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)globalInit;
    using Socket = int (*)(CURL *, curl_socket_t, int, void *, void *);
    using Timer = int (*)(CURLM *, long, void *);
    const Socket onSocket = [](CURL *, curl_socket_t fd, int what, void *cls, void *) {
        static_cast<Multi *>(cls)->onSocket(fd, what);
        return 0;
    };
    const Timer onTimer = [](CURLM *, long delayMs, void *cls) {
        static_cast<Multi *>(cls)->setTimer(delayMs);
        return 0;
    };
    m_multi->handle = curl_multi_init();
    curl_multi_setopt(m_multi->handle, CURLMOPT_SOCKETFUNCTION, onSocket);
    curl_multi_setopt(m_multi->handle, CURLMOPT_SOCKETDATA, m_multi.get());
    curl_multi_setopt(m_multi->handle, CURLMOPT_TIMERFUNCTION, onTimer);
    curl_multi_setopt(m_multi->handle, CURLMOPT_TIMERDATA, m_multi.get());
    curl_multi_setopt(m_multi->handle, CURLMOPT_MAX_HOST_CONNECTIONS, options.maxConnectionsPerAddress);
}

HttpClient::~HttpClient()
{
    *m_multi->alive = false;
    for (auto &[easy, transfer] : m_multi->transfers) {
        curl_multi_remove_handle(m_multi->handle, easy);
    }
    m_multi->transfers.clear();
    for (CURL *const it : m_multi->spareHandles) {
        curl_easy_cleanup(it);
    }
    m_multi->spareHandles.clear();
    curl_multi_cleanup(m_multi->handle);
    for (const auto &[fd, use] : m_multi->sockets) {
        m_multi->loop.unwatch(fd);
    }
}

void HttpClient::send(TargetRequest request, TargetPort::Callback callback)
{
    if (m_multi->options.maxConnectionsPerAddress == 0) {
        return m_multi->start(std::move(request), std::move(callback));
    }
    auto &destination = m_multi->destinations[request.address];
    if (destination.transfers >= m_multi->options.maxConnectionsPerAddress) {
        return m_multi->wait(destination, std::move(request), std::move(callback));
    }
    ++destination.transfers;
    m_multi->start(std::move(request), std::move(callback));
}

TargetPort HttpClient::port()
{
    return {.send = [this](TargetRequest request, TargetPort::Callback callback) {
        send(std::move(request), std::move(callback));
    }};
}

} // namespace hibiscusbridge
