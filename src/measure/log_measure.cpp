// A member's log on a real folder: what changes cost, how far the store's file grows, what a restart reads
// and how long it takes; and what an entry costs in memory as the log grows.
#include <malloc.h>
#include <popt.h>
#include <sys/stat.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>
#include <string>

#include "control_plane/replicated_state.h"
#include "storage/lmdb_store.h"

namespace {

using namespace pearspar;
using namespace raft;
using Clock = std::chrono::steady_clock;

double ms_since(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double file_mb(const std::string& folder) {
  return static_cast<double>(std::filesystem::file_size(folder + "/data.mdb")) / (1 << 20);
}

double heap_mb() { return static_cast<double>(mallinfo2().uordblks) / (1 << 20); }

std::string configuration(int revision, int routes) {
  std::string text = "{\"edition\":" + std::to_string(revision) + ",\"postalRoutes\":[";
  for (int i = 0; i < routes; ++i) {
    std::string n = std::to_string(i);
    text += (i ? ",{\"name\":\"route" : "{\"name\":\"route") + n +
            "\",\"hostName\":\"h\",\"pathPrefix\":\"/p" + n +
            "/\",\"lineKind\":\"safe\",\"deadlineMs\":" + std::to_string(500 + (revision + i) % 700) +
            ",\"targetMs\":120,\"precedence\":1,\"depot\":\"d" + std::to_string(i % 40) + "\"}";
  }
  text += "],\"depots\":[";
  for (int i = 0; i < 40; ++i) text += (i ? ",{\"name\":\"d" : "{\"name\":\"d") + std::to_string(i) + "\"}";
  return text + "]}";
}

Options founder() {
  Options options;
  options.address = "m0";
  options.founders = {"m0"};
  options.first_start = true;
  return options;
}

// A core of one, with the state in service.
int changes(const std::string& folder, int count, int routes) {
  Time now{Duration(1000)};
  std::size_t most_entries = 0, most_bytes = 0, most_state = 0;
  {
    storage::LmdbStore store(folder);
    control_plane::ReplicatedState state;
    Core core(store, state, founder());
    if (auto error = core.start(now)) return std::fprintf(stderr, "%s\n", error.message().c_str()), 1;
    while (!core.holds_lease(now)) core.tick(now += Duration(0.1));
    auto start = Clock::now();
    double file = 0;
    for (int i = 1; i <= count; ++i) {
      std::string text = configuration(i, routes);
      core.propose(now, control_plane::ReplicatedState::encode_change(state.revision(),
                                                                      static_cast<catalog::Revision>(i),
                                                                      control_plane::digest_of(text), text));
      most_entries = std::max<std::size_t>(most_entries, core.log().last() - core.log().snapshot().index);
      most_bytes = std::max(most_bytes, core.log().bytes());
      most_state = std::max(most_state, core.log().snapshot().state.size());
      file = std::max(file, file_mb(folder));
    }
    std::printf(
        "%d changes of %d routes, %zu bytes each: %.2f ms each; file %.1f MB; behind the snapshot at most "
        "%zu entries, %.2f MB; state %.2f MB; refused writes %llu; edition %llu\n",
        count, routes, configuration(count, routes).size(), ms_since(start) / count, file, most_entries,
        static_cast<double>(most_bytes) / 1e6, static_cast<double>(most_state) / 1e6,
        static_cast<unsigned long long>(core.counters().refused_writes),
        static_cast<unsigned long long>(state.revision()));
  }
  double heap = heap_mb();
  auto start = Clock::now();
  storage::LmdbStore store(folder);
  control_plane::ReplicatedState state;
  Core core(store, state, founder());
  auto error = core.start(now);
  double read_ms = ms_since(start);
  while (!error && !core.holds_lease(now)) core.tick(now += Duration(0.1));
  std::printf("a restart: %.1f ms to read, %.1f ms until all is applied; %.1f MB of memory; edition %llu\n",
              read_ms, ms_since(start), heap_mb() - heap, static_cast<unsigned long long>(state.revision()));
  return error || state.revision() != static_cast<catalog::Revision>(count) ? 1 : 0;
}

// Many days in short: entries, notes and snapshots of all sizes.
int file(const std::string& folder, int count, std::size_t state) {
  storage::LmdbStore store(folder);
  std::mt19937_64 random(7);
  Index index = 0, folded = 0;
  std::size_t bytes = 0, folds = 0, refused = 0;
  double most = 0, half = 0;
  auto start = Clock::now();
  for (int i = 0; i < count; ++i) {
    std::size_t size = random() % 4 ? random() % 2000 : random() % 200000;
    std::vector<Entry> entries;
    entries.push_back({++index, 1, EntryKind::change, std::string(size, static_cast<char>(i)), {}});
    bytes += size;
    if (store.replace_tail(index, entries)) ++refused, --index;
    if (i % 5 == 0 && store.save_note(index, std::string(random() % 30000, 'n'))) ++refused;
    if (index - folded >= 64 || bytes >= 4 << 20) {
      if (store.save_snapshot({index, 1, {}, std::string(state / 2 + random() % (state / 2 + 1), 's')},
                              false))
        ++refused;
      ++folds, folded = index, bytes = 0;
    }
    most = std::max(most, file_mb(folder));
    if (i == count / 2) half = most;
  }
  std::printf(
      "%d changes, %zu snapshots of up to %.1f MB: %.2f ms each; file %.1f MB at the half, %.1f MB at the "
      "end; refused writes %zu\n",
      count, folds, static_cast<double>(state) / 1e6, ms_since(start) / count, half, most, refused);
  return refused != 0 || most >= 128;
}

class Nowhere : public Store {
 public:
  std::error_code load(PersistentState&) override { return {}; }
  std::error_code save_self(MemberId) override { return {}; }
  std::error_code save_vote(const Vote&) override { return {}; }
  std::error_code replace_tail(Index, const std::vector<Entry>&) override { return {}; }
  std::error_code save_snapshot(const Snapshot&, bool) override { return {}; }
  std::error_code save_note(Index, const std::string&) override { return {}; }
};

int memory(int count) {
  Nowhere store;
  Log log(store);
  auto start = Clock::now();
  for (int i = 0; i < count; ++i) {
    std::vector<Entry> entries;
    entries.push_back({log.last() + 1, 1, EntryKind::change, "c", {}});
    log.replace_tail(log.last() + 1, std::move(entries));
  }
  std::printf("%d entries one by one: %.2f us each\n", count, ms_since(start) * 1000 / count);
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  int count = 5000, routes = 500, entries = 0, days = 0, state_kb = 4096;
  char* folder = nullptr;
  const poptOption options[] = {
      {"folder", 'f', POPT_ARG_STRING, &folder, 0, "an empty one, for the store", "FOLDER"},
      {"changes", 'n', POPT_ARG_INT, &count, 0, "of the configuration", "N"},
      {"routes", 'r', POPT_ARG_INT, &routes, 0, "in each", "N"},
      {"file", 0, POPT_ARG_INT, &days, 0, "instead: entries of all sizes, how far the file grows", "N"},
      {"state-kb", 0, POPT_ARG_INT, &state_kb, 0, "file: of the largest snapshot", "KB"},
      {"entries", 0, POPT_ARG_INT, &entries, 0, "instead: entries in memory alone", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, options, 0);
  int read = poptGetNextOpt(context);
  poptFreeContext(context);
  if (read != -1 || (!folder && entries == 0))
    return std::fputs("pearspar-measure-log: see --help\n", stderr), 2;
  if (entries > 0) return memory(entries);
  return days > 0 ? file(folder, days, static_cast<std::size_t>(state_kb) << 10)
                  : changes(folder, count, routes);
}
