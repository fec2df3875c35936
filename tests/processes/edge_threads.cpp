#include "processes/traffic.h"

namespace pearspar::processes {

EdgeThreads::EdgeThreads(Scene& scene, std::uint64_t clients_per_edge,
                         const std::function<void(const std::string& edge, std::uint64_t number)>& run) {
  std::vector<std::string> edges;
  {
    std::lock_guard lock(scene.mutex);
    edges = scene.edges;
  }
  for (std::uint64_t number = 0; number < edges.size() * clients_per_edge; ++number)
    threads_.emplace_back([run, edge = edges[number % edges.size()], number] { run(edge, number); });
}

EdgeThreads::~EdgeThreads() {
  for (std::thread& each : threads_) each.join();
}

}  // namespace pearspar::processes
