// Stand-ins of the platform's store, its VM service and the workers, with a client and starters of entry processes.
//
// Everything runs in one process on loopback addresses, one thread for each connection. Only what the pages of the platform
// describe is carried out; all calls that matter to a rule are written to the record.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <tuple>
#include <vector>

namespace stand
{

using Json = nlohmann::json;

/// Milliseconds of the steady clock since the start of the program.
std::int64_t now();
/// Milliseconds since 1970.
std::int64_t wall();
void sleepMs(std::int64_t ms);

/// The file record.txt; one line for each event.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
};

struct Response {
    int status = 200;
    std::string body;
    /// The connection is closed without an answer.
    bool drop = false;
    /// No answer is ever sent; the connection stays open and delivers nothing further.
    bool mute = false;
};

/// HTTP server on a free loopback port, one thread for each connection.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(Handler handler);
    ~Server();
    const std::string &address() const
    {
        return m_address;
    }
    /// Resets all connections and refuses new ones until `resume`.
    void cut();
    void resume();

private:
    void accept();
    void serve(int fd);

    Handler m_handler;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_refuses{false};
    std::mutex m_mutex;
    std::set<int> m_connections;
};

std::string freeAddress();
std::string base64(const std::string &bytes);
std::string fromBase64(const std::string &text);

/// One HTTP call on a connection of its own; status 0 without an answer.
Response call(const std::string &address,
              const std::string &method,
              const std::string &path,
              const std::string &body = {},
              const std::map<std::string, std::string> &headers = {},
              std::int64_t timeoutMs = 4'000);

/// The platform's transactional tables.
class Store
{
public:
    struct Limits {
        std::size_t rowBytes = 65'536;
        std::size_t callBytes = 1'000'000;
        std::size_t callEntries = 100;
        std::int64_t txMs = 4;
    };
    /// Decides about each transaction of the system: 0 to apply and answer it, -1 to apply it and lose the answer, a positive number to
    /// lose the answer and apply it so many milliseconds later, if its condition still holds.
    using Fate = std::function<std::int64_t(const Json &tx)>;

    explicit Store(Record &record);
    const std::string &address() const
    {
        return m_server.address();
    }
    /// Writes of the operator and of the workers.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// Value of a row; empty if there is none.
    std::string get(const std::string &table, const std::string &part, const std::string &key);
    void setFate(Fate fate);
    /// While set, each call of the system gets 503 and nothing is done.
    std::atomic<bool> isDown{false};
    /// Drops the history: a feed from an earlier version gets 410.
    void forgetHistory();

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool removed = false;
    };

    Response handle(const Request &request);
    Response transact(const Request &request);
    Response apply(const Json &tx);
    Response read(const Request &request);
    Response feed(const Request &request);
    Json head() const;

    Record &m_record;
    Limits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::map<std::string, std::uint64_t> m_tableVersions;
    std::map<std::string, std::int64_t> m_partBusyUntil;
    std::uint64_t m_version = 100;
    std::uint64_t m_forgottenUpTo = 0;
    Fate m_fate;
    Server m_server;
};

struct Resources {
    std::int64_t cpu = 0;
    std::int64_t mem = 0;
};

/// What a worker has done, for the checks.
struct Event {
    enum class Kind {
        Started,
        Ended,
        Acknowledged, ///< `number` is the cursor
        LeaseLapsed,
        Crashed,
    };
    std::int64_t at = 0;
    Kind kind = Kind::Started;
    std::string worker;
    std::string task;
    int run = 0;
    std::string how;
    std::int64_t number = 0;
};

class Fleet;

/// One machine and the present life of its worker. How long a run takes is taken from the text after "ms=" in its `spec`; "lasts"
/// means until it is stopped.
class Worker
{
public:
    Worker(Fleet &fleet, std::string id, std::string machine, std::string service, std::string rack, Resources capacity);
    const std::string &id() const
    {
        return m_id;
    }
    const std::string &machine() const
    {
        return m_machine;
    }
    const std::string &service() const
    {
        return m_service;
    }
    const std::string &address() const
    {
        return m_server->address();
    }
    const std::string &rack() const
    {
        return m_rack;
    }
    Resources capacity() const
    {
        return m_capacity;
    }
    Json registration();
    /// Ends of runs and of the lease that are due.
    void tick();
    /// The process is killed: its connections are reset, and nothing runs any more. `state` is what the VM service says of its machine.
    void crash(const std::string &state = "down");
    std::string machineState();
    /// Starts again under its id, or under another one in the service.
    void restart(const std::string &id, const std::string &service);
    bool isUp() const
    {
        return m_up;
    }
    std::size_t running();
    std::set<std::string> runningTasks();
    /// Called with the lock held by none, after each accepted start.
    std::function<void(const std::string &task, int run)> onStart;

private:
    struct Run {
        int number = 0;
        std::int64_t endsAt = 0; ///< 0: lasts
        std::int64_t startedAt = 0;
        bool lasts = false;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
    };

    Response handle(const Request &request);
    Response start(const Json &body);
    Response stop(const Json &body);
    Response hold(const Json &body, std::unique_lock<std::mutex> &lock);
    Json head() const;
    std::int64_t clock() const;
    void end(std::string task, const std::string &how);
    void raiseDeadline(const Json &body);
    bool isFenced(const Json &body);

    Fleet &m_fleet;
    std::string m_id;
    std::string m_machine;
    std::string m_service;
    std::string m_rack;
    Resources m_capacity;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_up{true};
    std::string m_machineState = "up";
    std::int64_t m_born = 0;
    std::int64_t m_bornSteady = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_life = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0; ///< on the worker's clock
    std::map<std::string, Run> m_runs;
    std::vector<End> m_ends;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, int> m_highestOver; ///< highest run stopped or ended
    std::unique_ptr<Server> m_server;
};

/// The machines with their workers, and the VM service.
class Fleet
{
public:
    Fleet(Record &record, Store &store);
    ~Fleet();
    Worker &add(const std::string &id, const std::string &machine, const std::string &service, const std::string &rack, Resources capacity);
    const std::string &cloudAddress() const
    {
        return m_cloud.address();
    }
    void log(Event event);
    std::vector<Event> events();
    Record &record()
    {
        return m_record;
    }
    /// An order for a machine, as the VM service has received it.
    struct Order {
        std::int64_t at = 0;
        std::string machine;
        std::string holder;
        std::uint64_t fence = 0;
        std::string what;
    };
    std::vector<Order> orders();
    /// Each answer of the VM service takes so long; orders are carried out when they arrive.
    std::atomic<std::int64_t> cloudDelayMs{5};
    /// Writes the worker's entry to the store.
    void announce(Worker &worker);
    void withdraw(const std::string &id);
    std::vector<std::unique_ptr<Worker>> &workers()
    {
        return m_workers;
    }

private:
    Response cloud(const Request &request);
    Response order(const Request &request);
    std::vector<Worker *> allWorkers();
    void run();

    Record &m_record;
    Store &m_store;
    std::mutex m_mutex;
    std::vector<Event> m_events;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, std::uint64_t> m_machineFences;
    std::vector<Order> m_orders;
    std::set<std::pair<std::int64_t, std::string>> m_maintained;
    std::atomic<bool> m_stopped{false};
    Server m_cloud;
    std::thread m_thread;
};

struct EntryOptions {
    double cpuShare = 0.25;
    int jobStatusSeconds = 120;
};

/// A process `hibiscusbridge entry`.
class Entry
{
public:
    Entry(Record &record,
          std::string name,
          const std::string &store,
          const std::string &cloud,
          std::string folder,
          EntryOptions options = {});
    ~Entry();
    void start();
    void signal(int number);
    void waitForEnd();
    bool isReady() const;
    const std::string &name() const
    {
        return m_name;
    }
    const std::string &callers() const
    {
        return m_callers;
    }

private:
    Record &m_record;
    std::string m_name;
    std::string m_folder;
    std::string m_callers;
    std::string m_ready;
    std::string m_peers;
    pid_t m_pid = -1;
};

/// A small deployment: store, fleet, entries and the configuration.
struct Deployment {
    Deployment(const std::string &recordPath, std::size_t entries, EntryOptions options = {});
    ~Deployment();
    /// Starts the entries and waits until they serve.
    void start();
    /// Writes op/config with these routes (name, prefix, service) and services.
    void configure(std::int64_t version,
                   const std::vector<std::tuple<std::string, std::string, std::string>> &routes,
                   const std::vector<std::string> &services);
    /// A call of a client; recorded with its answer.
    Response client(std::size_t entry, const std::string &method, const std::string &path, const std::string &body = {});
    /// Sends a job until it is accepted, as a client would; false after `tries`.
    bool submit(std::size_t entry, const std::string &path, const std::string &body, int tries = 5);
    std::string state(std::size_t entry, const std::string &path);
    /// Entry that holds the shard according to its claim; npos if none.
    std::size_t owner(const std::string &shard);

    Record record;
    Store store;
    Fleet fleet;
    std::string folder;
    std::vector<std::unique_ptr<Entry>> entries;
};

bool waitFor(const std::function<bool()> &condition, std::int64_t ms);
bool trouble();
std::string host();

} // namespace stand
