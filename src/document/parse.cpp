// Parses the sections of the document with toml++.
#include "document/parse.hpp"

#include <absl/status/status.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <string_view>
#include <toml++/toml.h>

namespace hibiscusbridge
{

std::string formatProblem(const Problem &problem)
{
    std::string text = problem.place.section;
    if (problem.place.line > 0) {
        text += ':' + std::to_string(problem.place.line) + ':' + std::to_string(problem.place.column);
    }
    return text.empty() ? problem.text : text + ": " + problem.text;
}

/// Parses one section into the document and collects its problems.
class SectionReader
{
public:
    SectionReader(std::string_view section, ParsedDocument &parsed)
        : m_section(section)
        , m_parsed(parsed)
        , m_document(parsed.document)
    {
    }

    void read(std::string_view text);

private:
    Place placeOf(const toml::source_region &source) const;
    void fail(const toml::node &node, std::string_view reason);
    void checkKeys(const toml::table &table, std::span<const std::string_view> allowed);
    void recordPlaces(const std::string &path, const toml::key &key, const toml::node &node);
    void readString(const toml::table &table, std::string_view key, std::string &out);
    void readCount(const toml::table &table, std::string_view key, std::uint32_t &out);
    void readFlag(const toml::table &table, std::string_view key, bool &out);
    void readWeight(const toml::table &table, std::string_view key, double &out);
    template<typename Item, typename Read>
    void readItems(const toml::table &root, std::string_view key, std::map<std::string, Item, std::less<>> &items, Read readItem);
    std::string readSectionOwner(const toml::table &table);
    Team readTeam(const std::string &name, const toml::table &table);
    Service readService(const std::string &name, const toml::table &table);
    Pool readPool(const std::string &name, const toml::table &table);
    DeclaredVm readVm(const std::string &id, const toml::table &table);
    void readWeights(const toml::table &root);

    std::string_view m_section;
    ParsedDocument &m_parsed;
    Document &m_document;
};

Place SectionReader::placeOf(const toml::source_region &source) const
{
    return {std::string(m_section), source.begin.line, source.begin.column};
}

void SectionReader::fail(const toml::node &node, std::string_view reason)
{
    m_parsed.problems.push_back({Severity::Error, placeOf(node.source()), std::string(reason)});
}

void SectionReader::checkKeys(const toml::table &table, std::span<const std::string_view> allowed)
{
    for (const auto &[key, node] : table) {
        if (std::find(allowed.begin(), allowed.end(), key.str()) != allowed.end()) {
            continue;
        }
        std::string reason = "unknown key '" + std::string(key.str()) + "'; allowed keys are";
        for (const auto &it : allowed) {
            reason += " " + std::string(it);
        }
        m_parsed.problems.push_back({Severity::Error, placeOf(key.source()), reason});
    }
}

/// Records the source locations of an item and its keys, for problems found by later checks.
void SectionReader::recordPlaces(const std::string &path, const toml::key &key, const toml::node &node)
{
    m_parsed.places.emplace(path, placeOf(key.source()));
    if (const auto *const table = node.as_table()) {
        for (const auto &[childKey, child] : *table) {
            m_parsed.places.emplace(path + "." + std::string(childKey.str()), placeOf(child.source()));
        }
    }
}

void SectionReader::readString(const toml::table &table, std::string_view key, std::string &out)
{
    const auto *const node = table.get(key);
    if (!node) {
        fail(table, "key '" + std::string(key) + "' is missing");
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        fail(*node, "key '" + std::string(key) + "' must be a string that is not empty");
        return;
    }
    out = *value;
}

void SectionReader::readCount(const toml::table &table, std::string_view key, std::uint32_t &out)
{
    const auto *const node = table.get(key);
    if (!node) {
        return;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < 0 || *value > std::numeric_limits<std::int32_t>::max()) {
        fail(*node, "key '" + std::string(key) + "' must be a whole number from 0 to 2147483647");
        return;
    }
    out = static_cast<std::uint32_t>(*value);
}

void SectionReader::readFlag(const toml::table &table, std::string_view key, bool &out)
{
    const auto *const node = table.get(key);
    if (!node) {
        return;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        fail(*node, "key '" + std::string(key) + "' must be true or false");
        return;
    }
    out = *value;
}

void SectionReader::readWeight(const toml::table &table, std::string_view key, double &out)
{
    const auto *const node = table.get(key);
    if (!node) {
        return;
    }
    const auto value = node->value<double>();
    if (!value || !std::isfinite(*value) || *value < 0.0) {
        fail(*node, "key '" + std::string(key) + "' must be a number of at least 0");
        return;
    }
    out = *value;
}

template<typename Item, typename Read>
void SectionReader::readItems(const toml::table &root, std::string_view key, std::map<std::string, Item, std::less<>> &items, Read readItem)
{
    const auto *const node = root.get(key);
    if (!node) {
        return;
    }
    if (!node->is_table()) {
        fail(*node, "'" + std::string(key) + "' must be a table");
        return;
    }
    for (const auto &[name, child] : *node->as_table()) {
        const auto *const table = child.as_table();
        if (!table) {
            fail(child, "'" + std::string(key) + "." + std::string(name.str()) + "' must be a table");
            continue;
        }
        const std::string path = std::string(key) + "." + std::string(name.str());
        if (items.contains(std::string(name.str()))) {
            fail(child, "'" + path + "' is already defined in section '" + m_parsed.places[path].section + "'");
            continue;
        }
        recordPlaces(path, name, child);
        items.emplace(std::string(name.str()), readItem(std::string(name.str()), *table));
    }
}

Team SectionReader::readTeam(const std::string &name, const toml::table &table)
{
    static constexpr std::array<std::string_view, 3> keys{"tokenSha256", "quotaCores", "quotaAccelerators"};
    checkKeys(table, keys);
    Team team{.name = name};
    readString(table, "tokenSha256", team.tokenSha256);
    readCount(table, "quotaCores", team.quotaCores);
    readCount(table, "quotaAccelerators", team.quotaAccelerators);
    return team;
}

Service SectionReader::readService(const std::string &name, const toml::table &table)
{
    static constexpr std::array<std::string_view, 2> keys{"pool", "deadlineMs"};
    checkKeys(table, keys);
    Service service{.name = name};
    readString(table, "pool", service.pool);
    auto deadlineMs = static_cast<std::uint32_t>(service.deadline.count);
    readCount(table, "deadlineMs", deadlineMs);
    service.deadline = {deadlineMs};
    return service;
}

Pool SectionReader::readPool(const std::string &name, const toml::table &table)
{
    static constexpr std::array<std::string_view, 5> keys{"owner", "minHealthy", "mayLose", "survivesZone", "spare"};
    checkKeys(table, keys);
    Pool pool{.name = name};
    readString(table, "owner", pool.owner);
    readCount(table, "minHealthy", pool.minHealthy);
    readCount(table, "mayLose", pool.mayLose);
    readFlag(table, "survivesZone", pool.survivesZone);
    readFlag(table, "spare", pool.spare);
    return pool;
}

DeclaredVm SectionReader::readVm(const std::string &id, const toml::table &table)
{
    static constexpr std::array<std::string_view, 9> keys{
        "pool", "address", "zone", "rack", "cores", "memoryMb", "accelerators", "slots", "connections"};
    checkKeys(table, keys);
    DeclaredVm vm{.id = id};
    readString(table, "pool", vm.pool);
    readString(table, "address", vm.address);
    readString(table, "zone", vm.zone);
    readString(table, "rack", vm.rack);
    readCount(table, "cores", vm.cores);
    readCount(table, "memoryMb", vm.memoryMb);
    readCount(table, "accelerators", vm.accelerators);
    readCount(table, "slots", vm.slots);
    readCount(table, "connections", vm.connections);
    return vm;
}

void SectionReader::readWeights(const toml::table &root)
{
    const auto *const node = root.get("weights");
    if (!node) {
        return;
    }
    const auto *const table = node->as_table();
    if (!table) {
        fail(*node, "'weights' must be a table");
        return;
    }
    if (const auto existing = m_parsed.places.find("weights"); existing != m_parsed.places.end()) {
        fail(*node, "'weights' is already defined in section '" + existing->second.section + "'");
        return;
    }
    m_parsed.places.emplace("weights", placeOf(node->source()));
    static constexpr std::array<std::string_view, 3> keys{"bufferCost", "rollOutTime", "moves"};
    checkKeys(*table, keys);
    readWeight(*table, "bufferCost", m_document.weights.bufferCost);
    readWeight(*table, "rollOutTime", m_document.weights.rollOutTime);
    readWeight(*table, "moves", m_document.weights.moves);
}

std::string SectionReader::readSectionOwner(const toml::table &table)
{
    static constexpr std::array<std::string_view, 1> keys{"owner"};
    checkKeys(table, keys);
    std::string owner;
    readString(table, "owner", owner);
    return owner;
}

void SectionReader::read(std::string_view text)
{
    if (text.size() > maxSectionBytes) {
        m_parsed.readable = false;
        m_parsed.problems.push_back({Severity::Error,
                                     {std::string(m_section)},
                                     "the text has " + std::to_string(text.size()) + " bytes, more than " + std::to_string(maxSectionBytes)
                                         + "; split the section"});
        return;
    }
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        m_parsed.readable = false;
        m_parsed.problems.push_back({Severity::Error, placeOf(error.source()), std::string(error.description())});
        return;
    }
    static constexpr std::array<std::string_view, 6> keys{"teams", "sections", "services", "pools", "vms", "weights"};
    checkKeys(root, keys);
    readItems(root, "teams", m_document.teams, [this](const auto &name, const auto &table) { return readTeam(name, table); });
    readItems(root, "sections", m_document.sectionOwners, [this](const auto &, const auto &table) { return readSectionOwner(table); });
    readItems(root, "services", m_document.services, [this](const auto &name, const auto &table) { return readService(name, table); });
    readItems(root, "pools", m_document.pools, [this](const auto &name, const auto &table) { return readPool(name, table); });
    readItems(root, "vms", m_document.vms, [this](const auto &id, const auto &table) { return readVm(id, table); });
    readWeights(root);
}

ParsedDocument parseSections(std::span<const SectionText> sections)
{
    ParsedDocument parsed;
    for (const auto &section : sections) {
        SectionReader(section.name, parsed).read(section.text);
    }
    return parsed;
}

absl::StatusOr<Document> parseDocument(std::span<const SectionText> sections)
{
    auto parsed = parseSections(sections);
    if (!parsed.problems.empty()) {
        return absl::InvalidArgumentError(formatProblem(parsed.problems.front()));
    }
    return std::move(parsed.document);
}

} // namespace hibiscusbridge
