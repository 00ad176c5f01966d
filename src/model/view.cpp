// Applying rows to a view.
#include "model/view.hpp"

#include "document/parse.hpp"

#include <algorithm>

namespace hibiscusbridge
{

/// Puts a parsed row into its map; a deleted row removes the item. Returns false when the value is malformed.
template<typename Item, typename Parse>
static bool applyItem(std::map<std::string, Item, std::less<>> &items, const std::string &name, const Row &row, Parse parse)
{
    if (!row.value) {
        items.erase(name);
        return true;
    }
    auto item = parse(*row.value);
    if (!item) {
        return false;
    }
    item->version = row.version;
    items.insert_or_assign(name, std::move(*item));
    return true;
}

static bool applyMembers(View &view, const Row &row)
{
    if (!row.value) {
        view.members = {};
        return true;
    }
    auto list = parseMembers(*row.value);
    if (!list) {
        return false;
    }
    list->version = row.version;
    view.members = std::move(*list);
    return true;
}

static bool applyRow(View &view, const Row &row)
{
    const std::string_view key = row.key;
    const auto nameAfter = [&](std::string_view prefix) {
        return std::string(key.substr(prefix.size()));
    };
    if (key.starts_with(vmPrefix)) {
        return applyItem(view.vms, nameAfter(vmPrefix), row, parseVm);
    }
    if (key.starts_with(poolPrefix)) {
        return applyItem(view.ledgers, nameAfter(poolPrefix), row, parseLedger);
    }
    if (key.starts_with(wavePrefix)) {
        return applyItem(view.waves, nameAfter(wavePrefix), row, parseWave);
    }
    if (key.starts_with(sectionPrefix)) {
        return applyItem(view.sections, nameAfter(sectionPrefix), row, parseSection);
    }
    if (key == documentVersionKey) {
        view.documentVersion = row.version;
        return true;
    }
    if (key == membersKey) {
        return applyMembers(view, row);
    }
    return true; // A newer release may add kinds of rows.
}

static void reparseDocument(View &view)
{
    std::vector<SectionText> sections;
    for (const auto &[name, section] : view.sections) {
        sections.push_back({name, section.text});
    }
    auto document = parseDocument(sections);
    if (document.ok()) {
        view.document = std::move(*document);
    }
}

std::vector<std::string> applyRows(View &view, std::uint64_t version, const std::vector<Row> &rows)
{
    std::vector<std::string> malformed;
    if (version < view.version) {
        return malformed;
    }
    bool documentChanged = false;
    for (const auto &row : rows) {
        const auto held = view.rows.find(row.key);
        if (held != view.rows.end() && held->second.version >= row.version) {
            continue;
        }
        if (!applyRow(view, row)) {
            malformed.push_back(row.key);
            continue;
        }
        view.rows.insert_or_assign(row.key, row);
        documentChanged = documentChanged || row.key.starts_with(sectionPrefix);
    }
    view.version = version;
    if (documentChanged) {
        reparseDocument(view);
    }
    return malformed;
}

} // namespace hibiscusbridge
