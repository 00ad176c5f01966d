// Platform calls over HTTP and JSON.
#include "adapters/platformclient.hpp"

#include "helpers/url.hpp"
#include "ports/conflicts.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

PlatformClient::PlatformClient(HttpClient &client, PlatformOptions options)
    : m_client(client)
    , m_options(std::move(options))
{
}

/// Turns an exchange into a status: kUnavailable when the platform certainly did nothing, kDeadlineExceeded when it may
/// have.
static absl::StatusOr<TargetResult> toAnswer(TargetResult result)
{
    switch (result.outcome) {
    case TargetOutcome::NotSent:
        return absl::UnavailableError("platform cannot be reached: " + result.error);
    case TargetOutcome::Unknown:
        return absl::DeadlineExceededError("no answer from the platform: " + result.error);
    case TargetOutcome::Answered:
        break;
    }
    if (result.status == 503) {
        return absl::UnavailableError("platform refused the call: status 503");
    }
    if (result.status >= 500) {
        return absl::UnknownError("platform failed: status " + std::to_string(result.status));
    }
    return result;
}

void PlatformClient::call(std::string method,
                          std::string path,
                          std::string body,
                          std::function<void(absl::StatusOr<TargetResult>)> callback)
{
    m_counters.bytesSent += path.size() + body.size();
    TargetRequest request{
        .address = m_options.address,
        .method = std::move(method),
        .path = std::move(path),
        .headers = {{"Content-Type", "application/json"}},
        .body = std::move(body),
        .timeout = m_options.timeout,
    };
    m_client.send(std::move(request), [this, callback = std::move(callback)](TargetResult result) {
        m_counters.bytesReceived += result.body.size();
        auto answer = toAnswer(std::move(result));
        m_counters.errors += answer.ok() ? 0 : 1;
        m_counters.timeouts += absl::IsDeadlineExceeded(answer.status()) ? 1 : 0;
        callback(std::move(answer));
    });
}

static std::string encodeTransaction(const Transaction &transaction)
{
    json preconditions = json::array();
    for (const auto &[key, version] : transaction.preconditions) {
        preconditions.push_back({{"key", key}, {"version", version}});
    }
    json writes = json::array();
    for (const auto &[key, value] : transaction.writes) {
        writes.push_back({{"key", key}, {"value", value ? json(*value) : json()}});
    }
    return json{{"preconditions", preconditions}, {"writes", writes}}.dump();
}

static absl::StatusOr<std::uint64_t> decodeCommit(const TargetResult &answer)
{
    try {
        const auto object = json::parse(answer.body);
        if (answer.status == 409) {
            return conflictError(object.at("conflicts").get<std::vector<std::string>>());
        }
        if (answer.status != 200) {
            return absl::InvalidArgumentError("platform rejected the transaction: status " + std::to_string(answer.status));
        }
        return object.at("version").get<std::uint64_t>();
    } catch (const json::exception &) {
        return absl::UnknownError("malformed answer of the table service");
    }
}

static absl::StatusOr<ReadResult> decodeRead(const TargetResult &answer)
{
    if (answer.status != 200) {
        return absl::UnavailableError("platform rejected the read: status " + std::to_string(answer.status));
    }
    try {
        const auto object = json::parse(answer.body);
        ReadResult result{.version = object.at("version")};
        for (const auto &it : object.at("rows")) {
            Row row{.key = it.at("key"), .version = it.at("version")};
            if (!it.at("value").is_null()) {
                row.value = it.at("value").get<std::string>();
            }
            result.rows.push_back(std::move(row));
        }
        return result;
    } catch (const json::exception &) {
        return absl::UnavailableError("malformed answer of the table service");
    }
}

TablePort PlatformClient::table()
{
    return {
        .commit =
            [this](Transaction transaction, TablePort::CommitCallback callback) {
                ++m_counters.commits;
                call("POST", "/v1/transact", encodeTransaction(transaction), [this, callback = std::move(callback)](auto answer) {
                    if (!answer.ok()) {
                        return callback(answer.status());
                    }
                    const auto version = decodeCommit(*answer);
                    m_counters.conflicts += absl::IsAborted(version.status()) ? 1 : 0;
                    callback(version);
                });
            },
        .read =
            [this](const ReadRequest &request, TablePort::ReadCallback callback) {
                ++m_counters.reads;
                const auto path = "/v1/rows?prefix=" + percentEncode(request.prefix) + "&since=" + std::to_string(request.since);
                call("GET", path, {}, [callback = std::move(callback)](auto answer) {
                    callback(answer.ok() ? decodeRead(*answer) : absl::StatusOr<ReadResult>(answer.status()));
                });
            },
    };
}

static absl::StatusOr<std::vector<PlatformVm>> decodeVms(const TargetResult &answer)
{
    try {
        std::vector<PlatformVm> vms;
        // A temporary would be destroyed before the loop: its lifetime is not extended through at().
        const auto object = json::parse(answer.body);
        for (const auto &it : object.at("vms")) {
            const bool leaving = it.at("state") == "leaving";
            vms.push_back({
                .id = it.at("id"),
                .state = leaving ? PlatformVmState::Leaving : PlatformVmState::Live,
                .bootCount = it.at("bootCount"),
            });
        }
        return vms;
    } catch (const json::exception &) {
        return absl::UnavailableError("malformed list of VMs");
    }
}

VmPort PlatformClient::vms()
{
    return {
        .list =
            [this](std::function<void(absl::StatusOr<std::vector<PlatformVm>>)> callback) {
                call("GET", "/v1/vms", {}, [callback = std::move(callback)](auto answer) {
                    callback(answer.ok() ? decodeVms(*answer) : absl::StatusOr<std::vector<PlatformVm>>(answer.status()));
                });
            },
        .reboot =
            [this](const std::string &id, std::function<void(absl::Status)> callback) {
                call("POST", "/v1/vms/" + percentEncode(id) + "/reboot", {}, [callback = std::move(callback)](auto answer) {
                    if (answer.ok() && answer->status >= 300) {
                        return callback(
                            absl::FailedPreconditionError("platform refused the reboot: status " + std::to_string(answer->status)));
                    }
                    callback(answer.status());
                });
            },
    };
}

} // namespace hibiscusbridge
