// Test fixture for submissions: a small document with three teams, and a fake table.
#pragma once

#include "document/submission.hpp"
#include "fakes/faketable.hpp"
#include "helpers/ids.hpp"

#include <absl/strings/str_cat.h>
#include <optional>

namespace hibiscusbridge
{

inline std::string fleetText(const std::string &opsToken = "ops-token")
{
    return "[teams.ops]\ntokenSha256 = \"" + sha256Hex(opsToken) + "\"\n[teams.web]\ntokenSha256 = \"" + sha256Hex("web-token")
           + "\"\n[teams.db]\ntokenSha256 = \"" + sha256Hex("db-token")
           + "\"\n[sections.fleet]\nowner = \"ops\"\n[sections.web]\nowner = \"web\"\n[sections.db]\nowner = \"db\"\n";
}

/// Text of a section with one pool and VMs at 10.0.0.<number>; `more` is appended to the pool's keys.
inline std::string poolText(const std::string &pool, const std::vector<int> &numbers, const std::string &more = "")
{
    auto text = "[pools." + pool + "]\nowner = \"" + pool + "\"\n" + more;
    for (const auto n : numbers) {
        const auto number = std::to_string(n);
        absl::StrAppend(
            &text, "[vms.", pool, number, "]\npool = \"", pool, "\"\naddress = \"10.0.0.", number, ":80\"\nzone = \"z\"\nrack = \"r\"\n");
    }
    return text;
}

struct SubmissionFixture {
    FakeLoop loop;
    FakeTable table{loop};
    SubmissionManager manager{table.port(), loop.timers(), loop.clock(), "bootstrap"};

    std::uint64_t sectionVersion(const std::string &section) const
    {
        return table.row("view/doc/" + section).version;
    }

    /// Submits and advances the fake clock by 60 s; throws if there is no result by then.
    SubmissionResult submitAndWait(Submission submission)
    {
        std::optional<SubmissionResult> answer;
        manager.submit(std::move(submission), [&answer](const auto &result) { answer = result; });
        loop.advance({60'000});
        return answer.value();
    }

    /// An edit of the section's current version with its owner's token.
    Submission edit(const std::string &section, const std::string &text, const std::string &id) const
    {
        return {section, text, sectionVersion(section), id, (section == "fleet" ? "ops" : section) + "-token"};
    }

    /// Commits sections fleet, web (VM web1) and db (VM db2).
    void setUp()
    {
        submitAndWait({"fleet", fleetText(), 0, "s1", "bootstrap"});
        submitAndWait(edit("web", poolText("web", {1}), "s2"));
        submitAndWait(edit("db", poolText("db", {2}), "s3"));
    }
};

} // namespace hibiscusbridge
