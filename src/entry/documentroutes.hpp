// Operator port: the document.
#pragma once

#include "adapters/httpserver.hpp"
#include "entry/components.hpp"

namespace hibiscusbridge
{

/// `{"version", "sections": [{"name", "owner", "version", "text"}]}`
void listSections(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// `{"name", "version", "text"}`
void showSection(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// Body: a text. `{"diff"}` turns the accepted text into it.
void diffSection(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);
/// Body: the section's text; headers X-Base-Version and X-Submission-Id. With `?dry-run=1` nothing is stored.
/// `{"version", "text"}`
void putSection(Components &components, const HttpRequest &request, const std::string &name, HttpResponder respond);

} // namespace hibiscusbridge
