// Stand-in of a worker: carries out orders as the protocol page says, and registers in the stand-in of the store.
// worker-standin ADDRESS REGISTERED ID MACHINE RACK SERVICE STORE LOG CORES [fails]
// ADDRESS is where it listens, REGISTERED the address that it registers, such as that of a proxy.
// The payload of a job is the duration of each subtask in milliseconds. Every start and end is appended to LOG as
// `UNIX_MS start|end|ack SUBTASK RUN WORKER [HOW]`. With `fails`, each subtask ends `failed` after half of its duration.
#include "adapters/httpclient.hpp"
#include "adapters/httpserver.hpp"

#include <algorithm>
#include <chrono>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <unistd.h>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

constexpr Millis heartbeat{1'500};
constexpr Millis maxHold{10'000};
constexpr Millis tick{5};
/// A subtask of this length or more stands for one that lasts; it is at work after the startup time.
constexpr Millis lastingLength{600'000};
constexpr Millis startupTime{300};

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string base64(const std::string &text)
{
    std::string out(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(
        out.data(), out.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), sodium_base64_VARIANT_ORIGINAL);
    out.pop_back();
    return out;
}

struct Active {
    std::string task;
    int run = 0;
    Millis startedAt;
    Millis length;
};

struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
};

struct Worker {
    EventLoop &loop;
    HttpClient &http;
    std::string address, id, machine, rack, service, store;
    int log = -1;
    int cores = 8;
    bool fails = false;
    Clock clock = systemClock();
    Millis bornAt;
    std::int64_t born = unixMs();
    std::int64_t seq = 0;
    std::uint64_t fence = 0;
    Millis deadline; ///< on the worker's clock
    std::vector<Active> running;
    std::map<std::string, int> endedRun;
    std::vector<End> ends;
    std::int64_t lastEnd = 0;
    struct Waiting {
        Millis until;
        HttpResponder respond;
    };
    std::vector<Waiting> waiting;

    Millis now() const
    {
        return clock.boot() - bornAt + Millis{1};
    }
    void note(const std::string &text) const
    {
        const auto line = std::to_string(unixMs()) + " " + text + "\n";
        if (write(log, line.data(), line.size()) < 0) {
            std::cerr << "log not written\n";
        }
    }
    void heartbeatLoop();
    Active *find(const std::string &task, int run);
    void end(const std::string &task, int run, const std::string &how);
    void onTick();
    json lists() const;
    HttpResponse answer(int status, json body) const
    {
        body["clock_ms"] = now().count;
        return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
    }
    HttpResponse refuse(const char *reason) const
    {
        return answer(409, {{"reason", reason}});
    }
    void extend(const json &body)
    {
        const Millis given{body.value("deadline_ms", std::int64_t{0})};
        deadline = std::max(deadline, std::min(given, now() + maxHold));
    }
    void serve(const HttpRequest &request, HttpResponder respond);
    HttpResponse start(const json &body);
    HttpResponse stop(const json &body);
};

void Worker::heartbeatLoop()
{
    const json row{{"service", service},
                   {"address", address},
                   {"zone", "a"},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"seq_no", ++seq},
                   {"capacity", {{"cpu", cores * 1000}, {"mem_mb", 64'000}, {"gpu", 0}}},
                   {"labels", {"small", rack}},
                   {"machine", machine},
                   {"born", born}};
    json request;
    request["puts"].push_back({{"table", "servers"}, {"part", ""}, {"key", id}, {"value", base64(row.dump())}});
    TargetRequest call{.address = store, .method = "POST", .path = "/control", .body = request.dump(), .timeout = {1'000}};
    http.send(std::move(call), [](const TargetResult &) {});
    loop.timers().after(heartbeat, [this] { heartbeatLoop(); });
}

Active *Worker::find(const std::string &task, int run)
{
    const auto it =
        std::find_if(running.begin(), running.end(), [&](const Active &active) { return active.task == task && active.run == run; });
    return it != running.end() ? &*it : nullptr;
}

void Worker::end(const std::string &task, int run, const std::string &how)
{
    std::erase_if(running, [&](const Active &it) { return it.task == task && it.run == run; });
    endedRun[task] = std::max(endedRun[task], run);
    ends.push_back({++lastEnd, task, run, how});
    note("end " + task + " " + std::to_string(run) + " " + id + " " + how);
}

json Worker::lists() const
{
    json body{{"running", json::array()}, {"ended_runs", json::array()}, {"born", born}};
    for (const auto &it : running) {
        const auto age = now() - it.startedAt;
        const bool lasts = it.length >= lastingLength;
        const auto percent = lasts ? (age >= startupTime ? 100 : 0)
                                   : std::min<std::int64_t>(age.count * 100 / std::max<std::int64_t>(it.length.count, 1), 99);
        body["running"].push_back({it.task, it.run, "", percent, 500});
    }
    for (const auto &it : ends) {
        body["ended_runs"].push_back({it.number, it.task, it.run, it.how, ""});
    }
    return body;
}

void Worker::onTick()
{
    std::vector<std::pair<Active, std::string>> over;
    for (const auto &it : running) {
        if (now() >= deadline) {
            over.emplace_back(it, "lapsed");
        } else if (fails && now() - it.startedAt >= Millis{it.length.count / 2}) {
            over.emplace_back(it, "failed");
        } else if (now() - it.startedAt >= it.length) {
            over.emplace_back(it, "done");
        }
    }
    for (const auto &[it, how] : over) {
        end(it.task, it.run, how);
    }
    std::erase_if(waiting, [&](const Waiting &it) {
        if (ends.empty() && now() < it.until) {
            return false;
        }
        it.respond(answer(200, lists()));
        return true;
    });
    loop.timers().after(tick, [this] { onTick(); });
}

HttpResponse Worker::start(const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const int run = body.at("run");
    if (find(task, run)) {
        extend(body);
        return answer(200, json::object());
    }
    if (run <= endedRun[task]) {
        extend(body);
        return refuse("old");
    }
    if (Millis{body.value("deadline_ms", std::int64_t{0})} <= now()) {
        return refuse("late");
    }
    extend(body);
    running.push_back({task, run, now(), Millis{std::stoll(body.at("spec").get<std::string>())}});
    note("start " + task + " " + std::to_string(run) + " " + id);
    return answer(200, json::object());
}

HttpResponse Worker::stop(const json &body)
{
    const auto task = body.at("task").get<std::string>();
    const int run = body.at("run");
    if (find(task, run)) {
        end(task, run, "stopped");
    }
    endedRun[task] = std::max(endedRun[task], run);
    return answer(200, json::object());
}

void Worker::serve(const HttpRequest &request, HttpResponder respond)
{
    if (headerValue(request.headers, "Hibiscusbridge-Expect-Instance") != id) {
        return respond(answer(421, json::object()));
    }
    const auto body = json::parse(request.body);
    const auto token = body.value("fencing_token", std::uint64_t{0});
    if (token < fence) {
        return respond(refuse("fence"));
    }
    fence = token;
    if (request.path == "/-/run-start") {
        return respond(start(body));
    }
    if (request.path == "/-/run-stop") {
        return respond(stop(body));
    }
    if (request.path == "/-/pace") {
        return respond(answer(200, json::object()));
    }
    if (request.path != "/-/hold") {
        return respond({.status = 404});
    }
    const auto cursor = body.value("ack_cursor", std::int64_t{0});
    std::erase_if(ends, [&](const End &it) {
        if (it.number <= cursor) {
            note("ack " + it.task + " " + std::to_string(it.run) + " " + id);
        }
        return it.number <= cursor;
    });
    if (body.contains("deadline_ms")) {
        extend(body);
    }
    const auto wait = std::min<std::int64_t>(body.value("wait_ms", std::int64_t{0}), 2'000);
    if (wait == 0 || !ends.empty()) {
        return respond(answer(200, lists()));
    }
    waiting.push_back({now() + Millis{wait}, std::move(respond)});
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 10) {
        std::cerr << "usage: worker-standin ADDRESS REGISTERED ID MACHINE RACK SERVICE STORE LOG CORES [fails]\n";
        return 2;
    }
    EventLoop loop;
    HttpClient http(loop, {});
    Worker worker{.loop = loop, .http = http};
    worker.address = argv[2];
    worker.id = argv[3];
    worker.machine = argv[4];
    worker.rack = argv[5];
    worker.service = argv[6];
    worker.store = argv[7];
    worker.log = open(argv[8], O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    worker.cores = std::stoi(argv[9]);
    worker.fails = argc > 10 && std::string(argv[10]) == "fails";
    worker.bornAt = worker.clock.boot();
    const auto server = HttpServer::listen(
        loop, {.address = argv[1]}, [&](const HttpRequest &request, HttpResponder respond) { worker.serve(request, std::move(respond)); });
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return 1;
    }
    worker.heartbeatLoop();
    worker.onTick();
    loop.onStopSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
