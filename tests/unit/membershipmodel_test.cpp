// Guards against an entry that goes on sending to a VM after it was taken out of service. Enumerates cuts in each
// direction, platform access, pauses, late writes and replacements for 3 to 5 entries over the real functions.
#include "fakes/faketable.hpp"
#include "membership/membership.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

using namespace hibiscusbridge;

namespace
{

enum class Event { None, Pause, LateWrite, DelayedMessages, Replace, ReplaceWhileRunning, VmsGone };
constexpr std::array allEvents{
    Event::None, Event::Pause, Event::LateWrite, Event::DelayedMessages, Event::Replace, Event::ReplaceWhileRunning, Event::VmsGone};
constexpr std::array eventNames{"none", "pause", "late write", "delayed messages", "replace", "replace while running", "VMs gone"};

struct Case {
    std::size_t entries = 3;
    /// Bit from * entries + to: messages are lost (or delayed) on that link.
    std::uint64_t cuts = 0;
    /// Bit per entry that reaches the platform.
    std::uint32_t platform = 0;
    Event event = Event::None;
    /// Time from the cut to the announcement; the later one leaves time for member changes.
    Millis announceAfter;
};

class Model;

/// One process: its timers and messages wait while it is paused.
struct Process {
    Process(Model &model, std::size_t processIndex, std::uint64_t incarnation, std::string address);

    std::size_t index;
    Member self;
    bool isPaused = false;
    bool isDead = false;
    Millis pausedFor;
    std::vector<std::function<void()>> waiting;
    std::unique_ptr<ViewManager> views;
    std::unique_ptr<Membership> membership;
};

class Model
{
public:
    explicit Model(const Case &c)
        : m_case(c)
    {
        MemberList list;
        for (std::size_t i = 0; i < c.entries; ++i) {
            start(i, 1, "p" + std::to_string(i));
            list.members.push_back(m_processes.back()->self);
        }
        table.put(vmKey, encodeVm({.id = "vm", .pool = "pool"}));
        table.put(std::string(membersKey), encodeMembers(list));
    }

    /// Returns false when an entry served from a view in which the VM is active too long after Draining was committed.
    bool run()
    {
        advance({3'500});
        m_isCut = true;
        beginEvent();
        const auto announceAt = loop.now() + m_case.announceAfter;
        const auto end = announceAt + Millis{8'000};
        while (loop.now() < end && isSafe) {
            if (loop.now() >= announceAt && m_announced == 0) {
                setVm(VmState::Announced);
                m_announced = table.row(vmKey).version;
            }
            takeOut();
            advance({100});
        }
        return isSafe;
    }

    FakeLoop loop;
    FakeTable table{loop};
    std::optional<Millis> drainingAt;
    bool isSafe = true;

    Clock clockOf(Process &process)
    {
        return {.boot = [this] { return loop.now(); },
                .wall =
                    [this, &process] {
                        return loop.now() + Millis{process.index == 1 ? 300 : 0};
                    }};
    }
    void runIn(Process &process, Millis delay, std::function<void()> fn)
    {
        loop.timers().after(delay, [&process, fn = std::move(fn)] {
            if (process.isPaused) {
                process.waiting.push_back(fn);
            } else if (!process.isDead) {
                fn();
            }
        });
    }
    bool reachesPlatform(const Process &process) const
    {
        return !m_isCut || (m_case.platform >> process.index & 1) != 0;
    }
    TablePort tableOf(Process &process)
    {
        const auto call = [this, &process](auto method, auto request, auto callback) {
            const auto answer = [this, &process, callback](auto result) {
                runIn(process, {1}, [callback, result] { callback(result); });
            };
            reachesPlatform(process) ? (table.port().*method)(request, answer) : answer(absl::UnavailableError("cut"));
        };
        return {.commit = [call](Transaction t, TablePort::CommitCallback callback) { call(&TablePort::commit, t, callback); },
                .read =
                    [call](ReadRequest r, TablePort::ReadCallback callback) {
                        call(&TablePort::read, r, callback);
                    }};
    }
    void send(const Process &from, const std::string &address, const wire::Envelope &envelope)
    {
        for (auto &to : m_processes) {
            const bool isLinkCut = m_isCut && (m_case.cuts >> (from.index * m_case.entries + to->index) & 1) != 0;
            const bool isDelayed = m_case.event == Event::DelayedMessages;
            if (to->self.address == address && (!isLinkCut || isDelayed)) {
                runIn(*to, isLinkCut ? Millis{4'000} : Millis{1}, [&to = *to, envelope] { to.membership->receive(envelope); });
            }
        }
    }
    void listVms(Process &process, const std::function<void(absl::StatusOr<std::vector<PlatformVm>>)> &callback)
    {
        std::vector<PlatformVm> vms;
        for (std::size_t i = 0; i < m_case.entries; ++i) {
            if (m_goneVms.count(i) == 0) {
                vms.push_back({.id = "e" + std::to_string(i)});
            }
        }
        runIn(process, {1}, [callback, vms] { callback(vms); });
    }

private:
    static constexpr auto vmKey = "view/vm/vm";

    void start(std::size_t index, std::uint64_t incarnation, const std::string &address)
    {
        m_processes.push_back(std::make_unique<Process>(*this, index, incarnation, address));
        m_processes.back()->views->start();
        m_processes.back()->membership->start();
    }
    void beginEvent()
    {
        auto &last = *m_processes.back();
        if (m_case.event == Event::Pause) {
            m_processes.front()->isPaused = true;
            loop.timers().after(m_case.announceAfter + Millis{5'000}, [this] { resume(*m_processes.front()); });
        } else if (m_case.event == Event::Replace) {
            last.isDead = true;
            start(last.index, 2, last.self.address);
        } else if (m_case.event == Event::ReplaceWhileRunning) {
            start(last.index, 2, "other");
        } else if (m_case.event == Event::VmsGone) {
            for (std::size_t i = m_case.entries / 2; i < m_case.entries; ++i) {
                m_processes[i]->isDead = true;
                m_goneVms.insert(i);
            }
        }
    }
    void resume(Process &process)
    {
        process.isPaused = false;
        check(process); // A request may be next in line, before any timer or message.
        for (const auto &fn : std::exchange(process.waiting, {})) {
            fn();
            check(process);
        }
    }
    void setVm(VmState state)
    {
        table.put(vmKey, encodeVm({.id = "vm", .pool = "pool", .state = state}));
    }
    /// Every entry that reaches the platform tries the second step.
    void takeOut()
    {
        for (auto &it : m_processes) {
            const auto &view = it->views->view();
            const bool isAnnounced = m_announced != 0 && view.version >= m_announced;
            if (drainingAt || it->isDead || it->isPaused || !isAnnounced || !reachesPlatform(*it)
                || !confirmedByMajority(view, it->membership->peers(), m_announced)) {
                continue;
            }
            table.faults.push_back(m_case.event == Event::LateWrite ? TableFault::LateWrite : TableFault::None);
            table.onCommit = [this] {
                if (!drainingAt && parseVm(*table.row(vmKey).value)->state == VmState::Draining) {
                    drainingAt = loop.now();
                }
            };
            table.port().commit({.preconditions = {{vmKey, m_announced}, {std::string(membersKey), view.members.version}},
                                 .writes = {{vmKey, encodeVm({.id = "vm", .pool = "pool", .state = VmState::Draining})}}},
                                [](const auto &) {});
        }
    }
    void check(const Process &process)
    {
        const auto &vms = process.views->view().vms;
        const bool isLate = drainingAt && loop.now() - *drainingAt > hearingTimeout;
        if (isLate && !process.isDead && !process.isPaused && process.membership->serving().serves()
            && vms.at("vm").state == VmState::Active) {
            isSafe = false;
        }
    }
    void advance(Millis duration)
    {
        for (const auto end = loop.now() + duration; loop.now() < end;) {
            loop.advance({100});
            for (const auto &it : m_processes) {
                check(*it);
            }
        }
    }

    Case m_case;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::set<std::size_t> m_goneVms;
    bool m_isCut = false;
    std::uint64_t m_announced = 0;
};

Process::Process(Model &model, std::size_t processIndex, std::uint64_t incarnation, std::string address)
    : index(processIndex)
    , self{.id = "e" + std::to_string(index), .incarnation = incarnation, .address = std::move(address)}
{
    const Membership::Ports ports{
        .table = model.tableOf(*this),
        .vms = {.list =
                    [&model, this](auto callback) {
                        model.listVms(*this, callback);
                    }},
        .peers = {.send =
                      [&model, this](const auto &to, const auto &envelope) {
                          model.send(*this, to, envelope);
                      }},
        .timers = {.after =
                       [&model, this](Millis delay, auto fn) {
                           model.runIn(*this, delay, std::move(fn));
                       }},
        .clock = model.clockOf(*this),
    };
    const std::vector<std::string> seeds{"p0", "p1", "p2", "p3", "p4"};
    views = std::make_unique<ViewManager>(ViewManager::Identity{self.id, incarnation}, ports.table, ports.peers, ports.timers, ports.clock);
    membership = std::make_unique<Membership>(self, seeds, ports, *views);
}

/// Cuts between the set and the rest: bit 0 of `directions` from the set outwards, bit 1 inwards.
std::uint64_t cutsAround(std::size_t entries, std::uint32_t set, std::uint32_t directions)
{
    std::uint64_t cuts = 0;
    for (std::size_t from = 0; from < entries; ++from) {
        for (std::size_t to = 0; to < entries; ++to) {
            const bool isOutwards = (set >> from & 1) != 0 && (set >> to & 1) == 0;
            const bool isInwards = (set >> from & 1) == 0 && (set >> to & 1) != 0;
            const bool isCut = (isOutwards && (directions & 1) != 0) || (isInwards && (directions & 2) != 0);
            cuts |= std::uint64_t{isCut} << (from * entries + to);
        }
    }
    return cuts;
}

/// 3 entries: every set of directed links and every set of entries with platform access. 4 and 5 entries: every
/// partition in each direction, with access for all, none, one side or the other.
std::set<std::pair<std::uint64_t, std::uint32_t>> cutsAndAccess(std::size_t entries)
{
    std::set<std::pair<std::uint64_t, std::uint32_t>> out;
    const std::uint32_t all = (1U << entries) - 1;
    for (std::uint32_t links = 0; entries == 3 && links < 64; ++links) {
        // Links 0>1 0>2 1>0 1>2 2>0 2>1 are bits 1 2 3 5 6 7 of the matrix.
        const std::uint64_t matrix = (links & 7) << 1 | (links >> 3) << 5;
        for (std::uint32_t access = 0; access <= all; ++access) {
            out.insert({matrix, access});
        }
    }
    for (std::uint32_t set = 0; entries > 3 && set <= all; ++set) {
        for (std::uint32_t directions = 1; directions <= 3; ++directions) {
            for (const auto access : {all, 0U, set, all & ~set}) {
                out.insert({cutsAround(entries, set, directions), access});
            }
        }
    }
    return out;
}

} // namespace

TEST_CASE("no entry serves from a view without the announcement for longer than the timeout", "[membership][model]")
{
    std::size_t cases = 0;
    std::size_t committed = 0;
    std::map<std::string, std::size_t> failed;
    for (std::size_t entries = 3; entries <= 5; ++entries) {
        for (const auto &[cuts, access] : cutsAndAccess(entries)) {
            for (const auto event : allEvents) {
                for (const Millis announceAfter : {Millis{0}, Millis{14'000}}) {
                    Model model({entries, cuts, access, event, announceAfter});
                    const bool isSafe = model.run();
                    ++cases;
                    committed += model.drainingAt ? 1 : 0;
                    failed[eventNames[static_cast<std::size_t>(event)]] += isSafe ? 0 : 1;
                }
            }
        }
    }
    std::cout << "membership model: cases=" << cases << " draining_committed=" << committed;
    std::size_t failures = 0;
    for (const auto &[name, n] : failed) {
        std::cout << " failed[" << name << "]=" << n;
        failures += n;
    }
    std::cout << '\n';
    CHECK(failures == 0);
    CHECK(committed > cases / 8); // Otherwise the check would be vacuous.
}
