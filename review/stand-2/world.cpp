// A small deployment for the cases.
#include "world.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <sodium.h>
#include <sstream>
#include <thread>

using namespace hibiscusbridge;
using nlohmann::json;

namespace review
{

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void pause(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool troubleWanted()
{
    const char *const text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

static std::string base64(const std::string &text)
{
    std::string out(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(
        out.data(), out.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), sodium_base64_VARIANT_ORIGINAL);
    out.pop_back();
    return out;
}

World::World(std::string program, std::string binaries, std::string folder, const std::string &record)
    : m_program(std::move(program))
    , m_binaries(std::move(binaries))
    , m_folder(std::move(folder))
    , m_record(record)
    , m_store(freeAddress())
    , m_storeProcess(std::make_unique<Process>(std::vector<std::string>{m_binaries + "/store-standin", m_store}))
    , m_startedAt(unixMs())
{
    waitFor([&] { return exchange("POST", "http://" + m_store + "/control", "{}").status == 200; }, Millis{10'000});
}

World::~World()
{
    // Workers and entries end before the store.
    m_machines.clear();
    entries.clear();
}

void World::startEntries(std::size_t n, bool proxies)
{
    for (std::size_t i = 0; i < n; ++i) {
        const auto callers = freeAddress();
        const auto ready = freeAddress();
        const auto peers = freeAddress();
        auto store = m_store;
        if (proxies) {
            store = freeAddress();
            storeProxies.push_back(std::make_unique<Proxy>(store, m_store));
        }
        const auto path = m_folder + "/entry-" + std::to_string(i) + ".toml";
        std::ofstream(path) << "name = \"entry-" << i << "\"\nzone = \"a\"\nregion = \"r\"\ncaller_address = \"" << callers
                            << "\"\nready_address = \"" << ready << "\"\npeer_address = \"" << peers << "\"\nmetrics_port = 0\n"
                            << "[limits]\ncpu_share = 0.25\ncpu_speed = 1\n[platform]\nstore_address = \"" << store << "\"\nvm_address = \""
                            << m_store << "\"\n[bounds]\nhold_max_ms = 10000\nstop_grace_s = 6\n";
        entries.push_back(std::make_unique<Process>(std::vector<std::string>{m_program, "entry"},
                                                    std::vector<std::string>{"HIBISCUSBRIDGE_CONFIG=" + path}));
        entryAddresses.push_back(callers);
        m_ready.push_back(ready);
    }
}

std::pair<std::string, std::uint64_t> World::holderOf(const std::string &shard) const
{
    const auto answer = exchange("GET", "http://" + m_store + "/-/rows-get?table=claims&part=" + shard + "&limit=10");
    const auto rows = answer.status == 200 ? json::parse(answer.body).value("rows", json::array()) : json::array();
    for (const auto &it : rows) {
        if (it.value("key", "") != "owner") {
            continue;
        }
        const auto text = it.value("value", "");
        std::string value(text.size(), '\0');
        std::size_t n = 0;
        sodium_base642bin(reinterpret_cast<unsigned char *>(value.data()),
                          value.size(),
                          text.data(),
                          text.size(),
                          nullptr,
                          &n,
                          nullptr,
                          sodium_base64_VARIANT_ORIGINAL);
        value.resize(n);
        return {json::parse(value).value("holder", ""), it.value("row_version", std::uint64_t{0})};
    }
    return {};
}

bool World::waitReady(Millis timeout)
{
    return waitFor(
        [&] {
            return std::all_of(m_ready.begin(), m_ready.end(), [](const std::string &it) {
                return exchange("GET", "http://" + it + "/-/readiness", {}, {}, Millis{1'000}).status == 200;
            });
        },
        timeout);
}

void World::configure(std::int64_t version, const std::vector<std::string> &services, const std::vector<Route> &routes)
{
    json configuration{{"version", version}, {"routes", json::array()}, {"services", json::array()}};
    for (const auto &it : routes) {
        configuration["routes"].push_back({{"name", it.name},
                                           {"host", "jobs.example"},
                                           {"path_prefix", it.prefix},
                                           {"service", it.service},
                                           {"max_attempts", it.maxAttempts},
                                           {"stretch", 2},
                                           {"target_latency_ms", 600},
                                           {"priority", 0}});
    }
    for (const auto &it : services) {
        configuration["services"].push_back({{"name", it}, {"enforces_capacity", false}});
    }
    json request;
    request["puts"].push_back({{"table", "op"}, {"part", ""}, {"key", "config"}, {"value", base64(configuration.dump())}});
    exchange("POST", "http://" + m_store + "/control", request.dump());
    note("operator: version " + std::to_string(version) + " confirmed: " + configuration["routes"].dump());
}

Machine &World::addMachine(const std::string &name, const std::string &rack, const std::string &service)
{
    auto &it = *m_machines.emplace_back(std::make_unique<Machine>());
    it.name = name;
    it.rack = rack;
    it.service = service;
    return it;
}

void World::startWorker(Machine &machine, const std::string &mode)
{
    ++machine.lives;
    machine.life.id = machine.fixedId.empty() ? "i-" + machine.name + "-" + std::to_string(machine.lives) : machine.fixedId;
    machine.life.address = machine.fixedAddress.empty() ? freeAddress() : machine.fixedAddress;
    std::vector<std::string> arguments{m_binaries + "/worker-standin",
                                       machine.life.address,
                                       machine.proxyAddress.empty() ? machine.life.address : machine.proxyAddress,
                                       machine.life.id,
                                       machine.name,
                                       machine.rack,
                                       machine.service,
                                       m_store,
                                       m_folder + "/runs.log",
                                       std::to_string(machine.cores)};
    if (!mode.empty()) {
        arguments.push_back(mode);
    }
    machine.life.process = std::make_unique<Process>(arguments);
    note("worker " + machine.life.id + " starts on machine " + machine.name + " of service " + machine.service);
}

void World::killWorker(Machine &machine)
{
    machine.life.process->signal(SIGKILL);
    machine.life.process.reset();
    m_killedAt[machine.life.id] = unixMs();
    note("worker " + machine.life.id + " crashes");
}

void World::controlStore(const std::string &faults)
{
    exchange("POST", "http://" + m_store + "/control", faults);
    note("store: " + faults);
}

Answer World::call(const std::string &method, const std::string &path, const std::string &body, std::size_t entry, std::int64_t deadlineMs)
{
    const auto answer = exchange(
        method,
        "http://" + entryAddresses.at(entry) + path,
        body,
        {{"Host", "jobs.example"}, {"Content-Type", "application/json"}, {"Hibiscusbridge-Deadline-Ms", std::to_string(deadlineMs)}},
        Millis{deadlineMs});
    note(method + " " + path + " at entry " + std::to_string(entry) + " -> " + std::to_string(answer.status) + " " + answer.body);
    return answer;
}

std::string World::stateOf(const std::string &prefix, const std::string &id, std::size_t entry)
{
    const auto answer = call("GET", prefix + id, {}, entry);
    if (answer.status != 200) {
        return "HTTP " + std::to_string(answer.status);
    }
    return json::parse(answer.body).value("state", "");
}

void World::note(const std::string &text)
{
    m_record << (unixMs() - m_startedAt) << " ms " << text << std::endl;
}

std::vector<RunSeen> World::runs() const
{
    std::ifstream in(m_folder + "/runs.log");
    std::vector<RunSeen> runs;
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream words(line);
        std::int64_t at = 0;
        std::string what;
        RunSeen it;
        words >> at >> what >> it.task >> it.run >> it.worker >> it.how;
        if (what == "start") {
            it.from = at;
            runs.push_back(it);
            continue;
        }
        if (what != "end") {
            continue;
        }
        for (auto &run : runs) {
            if (run.task == it.task && run.run == it.run && run.worker == it.worker) {
                run.to = at;
                run.how = it.how;
            }
        }
    }
    for (auto &run : runs) {
        if (const auto killed = m_killedAt.find(run.worker); run.to == 0 && killed != m_killedAt.end() && run.from < killed->second) {
            run.to = killed->second;
            run.how = "gone";
        }
    }
    return runs;
}

} // namespace review
