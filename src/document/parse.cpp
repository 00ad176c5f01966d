// Reads the sections of the document with toml++.
#include "document/parse.hpp"

#include <absl/status/status.h>
#include <array>
#include <limits>
#include <sstream>
#include <string_view>
#include <toml++/toml.h>

namespace hibiscusbridge
{

/// The first error found in one section, with its place.
class SectionReader
{
public:
    SectionReader(std::string_view section, Document &document)
        : m_section(section)
        , m_document(document)
    {
    }

    absl::Status read(std::string_view text);

private:
    void fail(const toml::node &node, std::string_view reason);
    bool checkKeys(const toml::table &table, std::span<const std::string_view> allowed);
    void readString(const toml::table &table, std::string_view key, std::string &out, bool required);
    void readCount(const toml::table &table, std::string_view key, std::uint32_t &out);
    void readFlag(const toml::table &table, std::string_view key, bool &out);
    void readWeight(const toml::table &table, std::string_view key, double &out);
    template<typename Item, typename Read>
    void readItems(const toml::table &root, std::string_view key, std::map<std::string, Item, std::less<>> &items, Read readItem);
    Team readTeam(const std::string &name, const toml::table &table);
    Service readService(const std::string &name, const toml::table &table);
    Pool readPool(const std::string &name, const toml::table &table);
    DeclaredVm readVm(const std::string &id, const toml::table &table);
    void readWeights(const toml::table &root);

    std::string_view m_section;
    Document &m_document;
    absl::Status m_status;
};

void SectionReader::fail(const toml::node &node, std::string_view reason)
{
    if (!m_status.ok()) {
        return;
    }
    std::ostringstream text;
    text << m_section << ':' << node.source().begin.line << ':' << node.source().begin.column << ": " << reason;
    m_status = absl::InvalidArgumentError(text.str());
}

bool SectionReader::checkKeys(const toml::table &table, std::span<const std::string_view> allowed)
{
    for (const auto &[key, node] : table) {
        if (std::find(allowed.begin(), allowed.end(), key.str()) == allowed.end()) {
            fail(node, "unknown key '" + std::string(key.str()) + "'");
            return false;
        }
    }
    return true;
}

void SectionReader::readString(const toml::table &table, std::string_view key, std::string &out, bool required)
{
    const auto *const node = table.get(key);
    if (!node) {
        if (required) {
            fail(table, "key '" + std::string(key) + "' is missing");
        }
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
    if (!value || !(*value >= 0.0)) {
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
            return;
        }
        const auto [it, inserted] = items.emplace(std::string(name.str()), readItem(std::string(name.str()), *table));
        if (!inserted) {
            fail(child, "'" + std::string(key) + "." + std::string(name.str()) + "' is already defined in another section");
        }
    }
}

Team SectionReader::readTeam(const std::string &name, const toml::table &table)
{
    static constexpr std::array<std::string_view, 3> keys{"tokenSha256", "quotaCores", "quotaAccelerators"};
    checkKeys(table, keys);
    Team team{.name = name};
    readString(table, "tokenSha256", team.tokenSha256, true);
    readCount(table, "quotaCores", team.quotaCores);
    readCount(table, "quotaAccelerators", team.quotaAccelerators);
    return team;
}

Service SectionReader::readService(const std::string &name, const toml::table &table)
{
    static constexpr std::array<std::string_view, 2> keys{"pool", "deadlineMs"};
    checkKeys(table, keys);
    Service service{.name = name};
    readString(table, "pool", service.pool, true);
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
    readString(table, "owner", pool.owner, true);
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
    readString(table, "pool", vm.pool, true);
    readString(table, "address", vm.address, true);
    readString(table, "zone", vm.zone, true);
    readString(table, "rack", vm.rack, true);
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
    static constexpr std::array<std::string_view, 3> keys{"bufferCost", "rollOutTime", "moves"};
    checkKeys(*table, keys);
    readWeight(*table, "bufferCost", m_document.weights.bufferCost);
    readWeight(*table, "rollOutTime", m_document.weights.rollOutTime);
    readWeight(*table, "moves", m_document.weights.moves);
}

absl::Status SectionReader::read(std::string_view text)
{
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &error) {
        std::ostringstream reason;
        reason << m_section << ':' << error.source().begin.line << ':' << error.source().begin.column << ": " << error.description();
        return absl::InvalidArgumentError(reason.str());
    }
    static constexpr std::array<std::string_view, 6> keys{"teams", "sections", "services", "pools", "vms", "weights"};
    checkKeys(root, keys);
    readItems(root, "teams", m_document.teams, [this](const auto &name, const auto &table) { return readTeam(name, table); });
    readItems(root, "sections", m_document.sectionOwners, [this](const auto &, const auto &table) {
        static constexpr std::array<std::string_view, 1> sectionKeys{"owner"};
        checkKeys(table, sectionKeys);
        std::string owner;
        readString(table, "owner", owner, true);
        return owner;
    });
    readItems(root, "services", m_document.services, [this](const auto &name, const auto &table) { return readService(name, table); });
    readItems(root, "pools", m_document.pools, [this](const auto &name, const auto &table) { return readPool(name, table); });
    readItems(root, "vms", m_document.vms, [this](const auto &id, const auto &table) { return readVm(id, table); });
    readWeights(root);
    return m_status;
}

absl::StatusOr<Document> parseDocument(std::span<const SectionText> sections)
{
    Document document;
    for (const auto &section : sections) {
        if (auto status = SectionReader(section.name, document).read(section.text); !status.ok()) {
            return status;
        }
    }
    return document;
}

} // namespace hibiscusbridge
