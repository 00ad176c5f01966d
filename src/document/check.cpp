// Validates the whole document.
#include "document/check.hpp"

#include "document/budgets.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace hibiscusbridge
{

bool CheckedDocument::accepted() const
{
    return std::none_of(problems.begin(), problems.end(), [](const Problem &it) { return it.severity == Severity::Error; });
}

bool isValidName(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), allowed);
}

static bool isSha256(std::string_view text)
{
    const auto hex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == 64 && std::all_of(text.begin(), text.end(), hex);
}

std::string canonicalAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    std::string host(address.substr(0, colon));
    const auto portText = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (ec != std::errc() || end != portText.data() + portText.size() || port == 0) {
        return {};
    }
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const int family = bracketed ? AF_INET6 : AF_INET;
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::array<char, sizeof(in6_addr)> bytes{};
    // inet_pton stops at a NUL and would accept a host with trailing garbage after it.
    if (host.find('\0') != std::string::npos || inet_pton(family, host.c_str(), bytes.data()) != 1) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    inet_ntop(family, bytes.data(), text.data(), text.size());
    return std::string(text.data()) + ' ' + std::to_string(port);
}

/// Checks that span sections; requires that all sections have been parsed.
class DocumentChecker
{
public:
    DocumentChecker(const ParsedDocument &parsed, std::vector<Problem> &problems)
        : m_parsed(parsed)
        , m_document(parsed.document)
        , m_problems(problems)
    {
    }

    void run(std::span<const SectionText> sections);

private:
    void report(const std::string &path, std::string text, Severity severity = Severity::Error);
    template<typename Items>
    void checkNames(const std::string &kind, const Items &items);
    template<typename Items>
    void checkInFleetSection(const std::string &kind, const Items &items);
    void checkTeams();
    void checkQuota(const std::string &key, std::uint32_t Team::*quota, std::uint32_t DeclaredVm::*capacity);
    void checkSections(std::span<const SectionText> sections);
    void checkServices();
    void checkPools();
    void checkVms();
    void checkWeights();

    const ParsedDocument &m_parsed;
    const Document &m_document;
    std::vector<Problem> &m_problems;
};

/// Reports a problem at the path, or at the enclosing item if the key itself is absent.
void DocumentChecker::report(const std::string &path, std::string text, Severity severity)
{
    auto it = m_parsed.places.find(path);
    if (it == m_parsed.places.end()) {
        it = m_parsed.places.find(path.substr(0, path.rfind('.')));
    }
    m_problems.push_back({severity, it == m_parsed.places.end() ? Place{} : it->second, std::move(text)});
}

template<typename Items>
void DocumentChecker::checkNames(const std::string &kind, const Items &items)
{
    for (const auto &[name, item] : items) {
        if (!isValidName(name)) {
            report(absl::StrCat(kind, ".", name), "name '" + name + "' must have 1 to 63 characters of a-z, 0-9 and '-'");
        }
    }
}

/// Restricts teams and section owners to section 'fleet'; otherwise the owner of another section could grant itself
/// quotas or sections.
template<typename Items>
void DocumentChecker::checkInFleetSection(const std::string &kind, const Items &items)
{
    for (const auto &[name, item] : items) {
        const auto it = m_parsed.places.find(absl::StrCat(kind, ".", name));
        if (it != m_parsed.places.end() && it->second.section != fleetSection) {
            report(it->first, "'" + it->first + "' may only be defined in section 'fleet'");
        }
    }
}

void DocumentChecker::checkTeams()
{
    for (const auto &[name, team] : m_document.teams) {
        if (!team.tokenSha256.empty() && !isSha256(team.tokenSha256)) {
            report("teams." + name + ".tokenSha256",
                   "tokenSha256 of team '" + name + "' must be a SHA-256 digest: 64 digits of 0-9 and a-f");
        }
    }
    checkQuota("quotaCores", &Team::quotaCores, &DeclaredVm::cores);
    checkQuota("quotaAccelerators", &Team::quotaAccelerators, &DeclaredVm::accelerators);
}

/// Reports the first team at which the running sum of the quotas exceeds the capacity of the declared VMs. Only a warning
/// while no VM is declared, so that the first section can define teams.
void DocumentChecker::checkQuota(const std::string &key, std::uint32_t Team::*quota, std::uint32_t DeclaredVm::*capacity)
{
    std::uint64_t available = 0;
    std::uint64_t granted = 0;
    for (const auto &[id, vm] : m_document.vms) {
        available += vm.*capacity;
    }
    const Team *exceeding = nullptr;
    for (const auto &[name, team] : m_document.teams) {
        granted += team.*quota;
        exceeding = !exceeding && granted > available ? &team : exceeding;
    }
    if (exceeding) {
        report("teams." + exceeding->name + "." + key,
               "the teams' " + key + " add up to " + std::to_string(granted) + ", but the declared VMs have " + std::to_string(available)
                   + "; lower a quota or declare more VMs",
               m_document.vms.empty() ? Severity::Warning : Severity::Error);
    }
}

void DocumentChecker::checkSections(std::span<const SectionText> sections)
{
    for (const auto &section : sections) {
        // An empty section needs no owner, except 'fleet': without its owner, nobody could change the document again.
        const bool needsOwner = !section.text.empty() || section.name == fleetSection;
        if (needsOwner && !m_document.sectionOwners.contains(section.name)) {
            m_problems.push_back(
                {Severity::Error,
                 {section.name},
                 "section '" + section.name + "' has no owner; add [sections." + section.name + "] with 'owner' to section 'fleet'"});
        }
    }
    for (const auto &[name, owner] : m_document.sectionOwners) {
        if (!owner.empty() && !m_document.teams.contains(owner)) {
            report("sections." + name + ".owner", absl::StrCat("owner '", owner, "' of section '", name, "' is not a team"));
        }
    }
}

void DocumentChecker::checkServices()
{
    for (const auto &[name, service] : m_document.services) {
        if (!service.pool.empty() && !m_document.pools.contains(service.pool)) {
            report("services." + name + ".pool", "pool '" + service.pool + "' of service '" + name + "' is not declared");
        }
        if (service.deadline.count == 0 || service.deadline > maxServiceDeadline) {
            report("services." + name + ".deadlineMs", "deadlineMs of service '" + name + "' must be from 1 to 60000");
        }
    }
}

void DocumentChecker::checkPools()
{
    for (const auto &[name, pool] : m_document.pools) {
        if (!pool.owner.empty() && !m_document.teams.contains(pool.owner)) {
            report("pools." + name + ".owner", "owner '" + pool.owner + "' of pool '" + name + "' is not a team");
        }
    }
    for (auto &it : checkBudgets(m_document)) {
        report("pools." + it.pool + "." + it.key, std::move(it.text), it.severity);
    }
}

void DocumentChecker::checkVms()
{
    std::unordered_map<std::string, std::string> addresses;
    for (const auto &[id, vm] : m_document.vms) {
        const std::string path = "vms." + id;
        if (!vm.pool.empty() && !m_document.pools.contains(vm.pool)) {
            report(path + ".pool", "pool '" + vm.pool + "' of VM '" + id + "' is not declared");
        }
        if (vm.slots == 0) {
            report(path + ".slots", "slots of VM '" + id + "' must be at least 1");
        }
        if (vm.connections == 0) {
            report(path + ".connections", "connections of VM '" + id + "' must be at least 1");
        }
        if (vm.address.empty()) {
            continue;
        }
        const auto address = canonicalAddress(vm.address);
        if (address.empty()) {
            report(path + ".address",
                   "address '" + vm.address + "' of VM '" + id + "' must be an IP address and a port, such as 192.0.2.1:8080");
            continue;
        }
        if (const auto [it, inserted] = addresses.emplace(address, id); !inserted) {
            report(path + ".address", "VM '" + id + "' has the same address " + vm.address + " as VM '" + it->second + "'");
        }
    }
}

void DocumentChecker::checkWeights()
{
    const auto &[bufferCost, rollOutTime, moves] = m_document.weights;
    if (bufferCost + rollOutTime + moves <= 0.0) {
        report("weights", "at least one of the weights bufferCost, rollOutTime and moves must be above 0");
    }
    const auto it = m_parsed.places.find("weights");
    if (it != m_parsed.places.end() && it->second.section != fleetSection) {
        report("weights", "'weights' may only be defined in section 'fleet'");
    }
}

void DocumentChecker::run(std::span<const SectionText> sections)
{
    checkNames("teams", m_document.teams);
    checkNames("sections", m_document.sectionOwners);
    checkNames("services", m_document.services);
    checkNames("pools", m_document.pools);
    checkNames("vms", m_document.vms);
    checkInFleetSection("teams", m_document.teams);
    checkInFleetSection("sections", m_document.sectionOwners);
    checkSections(sections);
    checkTeams();
    checkServices();
    checkPools();
    checkVms();
    checkWeights();
}

CheckedDocument checkDocument(std::span<const SectionText> sections)
{
    auto parsed = parseSections(sections);
    auto problems = std::move(parsed.problems);
    if (parsed.readable) {
        DocumentChecker(parsed, problems).run(sections);
    }
    return {std::move(parsed.document), std::move(problems)};
}

} // namespace hibiscusbridge
