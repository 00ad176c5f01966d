// Metrics by prometheus-cpp. Names follow the Prometheus conventions: base units, _total for counters.
#include "entry/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace hibiscusbridge
{

namespace
{

using Labels = std::map<std::string, std::string>;

/// Collects one scrape; the registry lives only as long.
class Scrape
{
public:
    void gauge(const std::string &name, const std::string &help, double value, const Labels &labels = {})
    {
        prometheus::BuildGauge().Name("hibiscusbridge_" + name).Help(help).Register(m_registry).Add(labels).Set(value);
    }
    void counter(const std::string &name, const std::string &help, std::uint64_t value, const Labels &labels = {})
    {
        prometheus::BuildCounter()
            .Name("hibiscusbridge_" + name)
            .Help(help)
            .Register(m_registry)
            .Add(labels)
            .Increment(static_cast<double>(value));
    }
    std::string text() const
    {
        std::ostringstream out;
        prometheus::TextSerializer().Serialize(out, m_registry.Collect());
        return out.str();
    }

private:
    prometheus::Registry m_registry{prometheus::Registry::InsertBehavior::Merge};
};

void addRequests(Scrape &scrape, const RequestCounters &counters)
{
    const std::string help = "Requests by outcome.";
    scrape.counter("requests_total", help, counters.finished, {{"outcome", "finished"}});
    scrape.counter("requests_total", help, counters.notRun, {{"outcome", "not_run"}});
    scrape.counter("requests_total", help, counters.unknown, {{"outcome", "unknown"}});
    scrape.counter("retries_total", "Requests sent again to another VM.", counters.retries);
    scrape.counter("retries_denied_total", "Retries that the retry budget did not allow.", counters.retriesDenied);
    scrape.counter("ejections_total", "VMs ejected after failures.", counters.ejections);
    scrape.counter("readmissions_total", "Ejected VMs readmitted.", counters.readmissions);
    scrape.counter("once_batches_total", "Transactions of at-most-once records.", counters.onceBatches);
    scrape.counter("once_writes_total", "Rows written for at-most-once records.", counters.onceWrites);
    scrape.counter("once_repeats_total", "Requests answered from a record of an earlier one.", counters.onceRepeats);
    scrape.counter("once_outcomes_lost_total", "Outcomes that could not be recorded.", counters.outcomesLost);
}

void addLimits(Scrape &scrape, const LimitsCounters &counters)
{
    scrape.counter("slots_started_total", "Requests that got a slot.", counters.started);
    scrape.counter("slots_refused_total", "Requests refused for want of a slot.", counters.refused);
    scrape.counter("slots_late_total", "Requests that waited for a slot past their deadline.", counters.late);
    scrape.counter("slot_holds_total", "Slots kept after a request because its VM may have run on.", counters.holds);
    scrape.counter("slot_leases_lent_total", "Leases given to other entries.", counters.leasesLent);
    scrape.counter("slot_leases_borrowed_total", "Leases taken from other entries.", counters.leasesBorrowed);
}

void addCleanup(Scrape &scrape, const OnceCleanupCounters &counters)
{
    scrape.counter("once_deleted_total", "At-most-once records deleted after their retention.", counters.deleted);
    scrape.counter("once_deletions_failed_total", "Transactions that deleted no record.", counters.failed);
}

void addPlatform(Scrape &scrape, const PlatformCounters &counters)
{
    scrape.counter("platform_calls_total", "Calls of the table service.", counters.reads, {{"call", "read"}});
    scrape.counter("platform_calls_total", "Calls of the table service.", counters.commits, {{"call", "commit"}});
    scrape.counter("platform_conflicts_total", "Commits whose precondition failed.", counters.conflicts);
    scrape.counter("platform_errors_total", "Calls without a usable answer.", counters.errors);
    scrape.counter("platform_timeouts_total", "Calls that were sent and got no answer.", counters.timeouts);
    scrape.counter("platform_sent_bytes_total", "Paths and bodies sent.", counters.bytesSent);
    scrape.counter("platform_received_bytes_total", "Bodies received.", counters.bytesReceived);
}

void addPeers(Scrape &scrape, const PeerCounters &counters)
{
    scrape.counter("peer_messages_total", "Messages between entries.", counters.sent, {{"direction", "sent"}});
    scrape.counter("peer_messages_total", "Messages between entries.", counters.received, {{"direction", "received"}});
    scrape.counter("peer_dropped_total", "Messages not sent because the peer is not connected or slow.", counters.dropped);
    scrape.counter("peer_malformed_total", "Malformed messages.", counters.malformed);
    scrape.counter("peer_rejected_total", "Connections with a wrong key.", counters.rejected);
    scrape.counter("peer_sent_bytes_total", "Bytes sent to other entries.", counters.bytesSent);
    scrape.counter("peer_received_bytes_total", "Bytes received from other entries.", counters.bytesReceived);
}

void addPools(Scrape &scrape, const Components &components)
{
    const auto count = countFleet(components.view(), components.health());
    for (const auto &[name, pool] : count.pools) {
        const Labels labels{{"pool", name}};
        const auto buffer = static_cast<double>(pool.healthy) - static_cast<double>(pool.budget.minHealthy);
        scrape.gauge("pool_healthy_vms", "VMs that receive work.", pool.healthy, labels);
        scrape.gauge("pool_min_healthy_vms", "VMs that the pool needs.", pool.budget.minHealthy, labels);
        scrape.gauge("pool_may_lose_vms", "VMs that planned work may take out at once.", pool.budget.mayLose, labels);
        scrape.gauge("pool_planned_out_vms", "VMs that planned work holds out.", pool.planned, labels);
        scrape.gauge("pool_failed_vms", "Failed VMs.", pool.failed, labels);
        scrape.gauge("pool_buffer_vms", "Buffer cost: VMs above the minimum.", buffer, labels);
    }
    scrape.gauge("spare_vms", "Spares beyond the minimum of their pools.", count.spares);
    scrape.gauge("spare_vms_needed", "Spares needed for the largest single failure.", count.reserve());
    std::size_t away = 0;
    for (const auto &[id, vm] : components.view().vms) {
        away += !vm.declaredPool.empty() && vm.declaredPool != vm.pool ? 1 : 0;
    }
    scrape.gauge("vms_away_from_declared_pool", "Moves in effect: VMs that serve another pool than declared.", static_cast<double>(away));
}

void addWaves(Scrape &scrape, const Components &components)
{
    for (const auto &[id, wave] : components.view().waves) {
        if (wave.state == WaveState::Finished) {
            continue;
        }
        const auto age = static_cast<double>((components.clock.wall() - wave.startedAt).count) / 1000.0;
        scrape.gauge("wave_age_seconds", "Roll-out time so far.", age, {{"wave", id}});
    }
}

void addView(Scrape &scrape, const Components &components)
{
    const auto age = components.clock.boot() - components.views->lastRead().value_or(Millis{});
    scrape.gauge("view_version", "Commit version of the view.", static_cast<double>(components.view().version));
    scrape.gauge("view_age_seconds", "Time since the last read of the platform.", static_cast<double>(age.count) / 1000.0);
    scrape.gauge("document_version", "Version of the accepted document.", static_cast<double>(components.view().documentVersion));
    scrape.gauge("members", "Member entries.", static_cast<double>(components.view().members.members.size()));
    scrape.gauge("members_heard", "Member entries heard, this one included.", static_cast<double>(components.liveMembers().size()));
    scrape.gauge("serves", "1 while this entry may send requests to targets.", components.mayServe().ok() ? 1 : 0);
    scrape.gauge("requests_in_flight", "Requests without an answer.", static_cast<double>(components.requests->inFlightTotal()));
}

} // namespace

std::string renderMetrics(const Components &components)
{
    Scrape scrape;
    addView(scrape, components);
    addRequests(scrape, components.requestCounters);
    addLimits(scrape, components.slots->counters());
    addCleanup(scrape, components.onceCleanup->counters());
    addPlatform(scrape, components.platform.counters());
    addPeers(scrape, components.peerLink->counters());
    addPools(scrape, components);
    addWaves(scrape, components);
    return scrape.text();
}

} // namespace hibiscusbridge
