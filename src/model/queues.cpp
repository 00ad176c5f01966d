// Finds the queue of a request.
#include "model/queues.hpp"

namespace hibiscusbridge::jobs
{

const Queue *findQueue(const Configuration &configuration, std::string_view host, std::string_view path)
{
    host = host.substr(0, host.find(':'));
    const Queue *best = nullptr;
    for (const auto &it : configuration.queues) {
        if (it.host == host && path.starts_with(it.pathPrefix) && (!best || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace hibiscusbridge::jobs
