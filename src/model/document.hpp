// The operators' document: what the fleet has to look like.
#pragma once

#include "helpers/millis.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace hibiscusbridge
{

/// A team that owns sections and has quotas over its jobs.
struct Team {
    std::string name;
    /// SHA-256 of the team's bearer token, 64 hexadecimal digits.
    std::string tokenSha256;
    std::uint32_t quotaCores = 0;
    std::uint32_t quotaAccelerators = 0;
};

/// Maps a service to the pool that serves it.
struct Service {
    std::string name;
    std::string pool;
    /// Longest time a request may take.
    Millis deadline{5000};
};

struct Pool {
    std::string name;
    /// Team that owns the pool.
    std::string owner;
    /// Healthy VMs that the pool needs at any moment.
    std::uint32_t minHealthy = 0;
    /// VMs that the pool may lose to planned work at once.
    std::uint32_t mayLose = 1;
    /// The budget also has to hold when a whole availability zone fails.
    bool survivesZone = false;
    /// The pool holds the spares that all services share.
    bool spare = false;
};

/// A VM as declared. `pool` is where it belongs; the VM's row says where it is now.
struct DeclaredVm {
    std::string id;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::uint32_t cores = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/// How much each measure counts in wave decisions; relative numbers of at least 0.
struct Weights {
    double bufferCost = 1.0;
    double rollOutTime = 1.0;
    double moves = 1.0;
};

/// All sections together. Invariants, checked before acceptance: every pool named exists, every owner is a team, and
/// a VM is declared once.
struct Document {
    std::map<std::string, Team, std::less<>> teams;
    /// Section name to owning team.
    std::map<std::string, std::string, std::less<>> sectionOwners;
    std::map<std::string, Service, std::less<>> services;
    std::map<std::string, Pool, std::less<>> pools;
    std::map<std::string, DeclaredVm, std::less<>> vms;
    Weights weights;
};

} // namespace hibiscusbridge
