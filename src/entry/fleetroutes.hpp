// Operator port: drains and waves.
#pragma once

#include "adapters/httpserver.hpp"
#include "entry/components.hpp"

namespace hibiscusbridge
{

/// Each takes an optional body `{"reason"}` and needs a token of the pool's owner or of the owner of the `fleet` section.
/// The answer has the commit version.
void drainVm(Components &components, const HttpRequest &request, const std::string &vm, HttpResponder respond);
/// Takes back a drain that is announced, or brings a drained VM back.
void undoDrain(Components &components, const HttpRequest &request, const std::string &vm, HttpResponder respond);
/// Body `{"pools", "reason"}`; no pools means all. The answer has the wave's id.
void startWave(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
void pauseWave(Components &components, const HttpRequest &request, const std::string &wave, HttpResponder respond);
void resumeWave(Components &components, const HttpRequest &request, const std::string &wave, HttpResponder respond);

} // namespace hibiscusbridge
