// What control costs by size, on loopback: hollow edges and index servers around real members. Exit status 1:
// at some size something did not come about (it is named); 2: the command line or a file cannot be read.
#include <fmt/format.h>
#include <popt.h>
#include <signal.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "measure/capacity.h"

namespace {

using namespace pearspar::measure;

void stop(int) { interrupted = true; }

std::vector<int> numbers(const std::string& text) {
  std::vector<int> numbers;
  std::istringstream in(text);
  for (std::string each; std::getline(in, each, ',');) numbers.push_back(std::atoi(each.c_str()));
  return numbers;
}

bool measure_turns(const std::string& file) {
  nlohmann::json told = nlohmann::json::array();
  for (int idle : {30, 100, 300, 1000, 3000, 9000}) {
    double us = turn_us(idle);
    if (us <= 0) return false;
    fmt::print("{:>6} connections  {:8.1f} us\n", idle, us);
    told.push_back({{"connections", idle}, {"us", std::round(us * 100) / 100}});
  }
  std::ofstream(file) << told.dump(1) << '\n';
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  Size size;
  char *sizes = nullptr, *file = nullptr, *sheet = nullptr, *program = nullptr;
  char *turns = nullptr, *page = nullptr, *folder = nullptr, *points = nullptr;
  double servers_an_edge = 5.7;
  int most_servers = 16000, memory_mb = 15000, held = 0, check = 0;
  const poptOption options[] = {
      {"edges", 'e', POPT_ARG_STRING, &sizes, 0, "sizes to measure (30,100,300,1000,2800)", "N,..."},
      {"servers-an-edge", 0, POPT_ARG_DOUBLE, &servers_an_edge, 0, "index servers (5.7)", "N"},
      {"most-servers", 0, POPT_ARG_INT, &most_servers, 0, "at the most (16000)", "N"},
      {"members", 'm', POPT_ARG_INT, &size.members, 0, "of the core (3)", "N"},
      {"full", 0, POPT_ARG_INT, &size.full, 0, "edges that keep every node, each in a process (8)", "N"},
      {"per-process", 0, POPT_ARG_INT, &size.per_process, 0, "other edges in one process (200)", "N"},
      {"routes", 'r', POPT_ARG_INT, &size.routes, 0, "routes in a configuration (100)", "N"},
      {"beat-ms", 0, POPT_ARG_DOUBLE, &size.beat_ms, 0, "between a server's beats (1200)", "MS"},
      {"held", 0, POPT_ARG_NONE, &held, 0, "servers keep their connections between beats", nullptr},
      {"rest", 0, POPT_ARG_DOUBLE, &size.rest_s, 0, "at rest (8)", "SECONDS"},
      {"within", 0, POPT_ARG_DOUBLE, &size.within_s, 0, "for each step (60)", "SECONDS"},
      {"nice", 0, POPT_ARG_INT, &size.nice, 0, "of the members (0)", "N"},
      {"memory", 0, POPT_ARG_INT, &memory_mb, 0, "that all may use (15000)", "MB"},
      {"altavia", 0, POPT_ARG_STRING, &program, 0, "the program (beside this one)", "FILE"},
      {"json", 'j', POPT_ARG_STRING, &file, 0, "figures, added to what the file holds", "FILE"},
      {"turns", 0, POPT_ARG_STRING, &turns, 0, "measure a turn of the loop, and nothing else", "FILE"},
      {"page", 0, POPT_ARG_STRING, &page, 0, "write the page's tables from the figures of a folder", "FILE"},
      {"figures", 0, POPT_ARG_STRING, &folder, 0, "that folder (docs/capacity)", "FOLDER"},
      {"points", 0, POPT_ARG_STRING, &points, 0, "write the curves' points of those figures", "FOLDER"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "with --page: say where it differs, and write nothing", nullptr},
      {"sheet", 's', POPT_ARG_STRING, &sheet, 0, "print the tables of a file, and measure nothing", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-capacity", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  // popt leaves its texts to whoever asked for them.
  struct Texts {
    std::vector<char*> all;
    ~Texts() {
      for (char* each : all) std::free(each);
    }
  } texts{{sizes, file, sheet, program, turns, page, folder, points}};
  std::vector<int> edges = numbers(sizes ? sizes : "30,100,300,1000,2800");
  bool bad = result < -1 || poptPeekArg(context) || size.members < 1 || size.members > 9 || size.full < 1 ||
             size.per_process < 1 || size.routes < 1 || memory_mb < 1 || servers_an_edge <= 0 ||
             edges.empty() ||
             std::any_of(edges.begin(), edges.end(), [](int n) { return n < 1 || n > 100000; });
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-capacity: the command line cannot be read (--help)\n");
    return 2;
  }
  if (points) return write_points(folder ? folder : "docs/capacity", points) ? 0 : 1;
  if (page) return write_page(page, folder ? folder : "docs/capacity", check != 0) ? 0 : 1;
  if (turns) return measure_turns(turns) ? 0 : 1;
  if (sheet) return print_sheet(sheet) ? 0 : 2;
  std::string altavia =
      program ? program
              : (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "altavia").string();
  if (!std::filesystem::exists(altavia)) {
    std::fprintf(stderr, "pearspar-measure-capacity: there is no %s\n", altavia.c_str());
    return 2;
  }
  nlohmann::json told = nlohmann::json::array();
  if (file && std::filesystem::exists(file)) {
    std::ifstream in(file);
    told = nlohmann::json::parse(in, nullptr, false);
    if (!told.is_array()) {
      std::fprintf(stderr, "pearspar-measure-capacity: %s holds no figures\n", file);
      return 2;
    }
  }
  for (int signal : {SIGINT, SIGTERM, SIGHUP}) ::signal(signal, stop);
  size.held = held != 0;
  size.memory_mb = static_cast<std::size_t>(memory_mb);
  bool walls = false;
  for (int each : edges) {
    size.edges = each;
    size.servers = std::clamp(static_cast<int>(each * servers_an_edge), 1, most_servers);
    Figures figures;
    try {
      figures = measure_size(size, altavia);
    } catch (const Interrupted&) {
      std::fprintf(stderr, "interrupted\n");
      return 1;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%d edges: %s\n", each, error.what());
      walls = true;
      continue;
    }
    walls = walls || !figures.walls.empty();
    told.push_back({{"held", size.held}, {"figures", figures.values}, {"walls", figures.walls}});
    if (file) std::ofstream(file) << told.dump(1) << '\n';
    if (!file) fmt::print("{}\n", told.back().dump(1));
    std::fflush(stdout);
  }
  if (file) print_sheet(file);
  return walls ? 1 : 0;
}
