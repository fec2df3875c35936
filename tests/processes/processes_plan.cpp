// What is to befall a system: drawn from a seed, as text, read back.
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

#include "processes/processes.h"

namespace pearspar::processes {
namespace {

struct Kind {
  const char* name;
  double least_s, most_s;  // how long it lasts
  double after_s;          // until the member counts as recovered
};
constexpr Kind all_kinds[] = {
    {"freeze", 0.2, 20, 2.5}, {"cut", 1, 20, 2.5},   {"cut_in", 1, 20, 2.5}, {"cut_out", 1, 20, 2.5},
    {"hold", 0.3, 12, 2.5},   {"kill", 0.1, 4, 4},   {"wipe", 0.1, 3, 6},    {"past", 2, 3, 6},
    {"replace", 0.1, 2, 6},   {"leave", 0, 0, 9},    {"restart", 0, 0, 4},   {"turns", 0, 0, 14},
    {"power", 0.1, 1, 5},     {"swap", 0.1, 0.5, 4},
};
// Edges and index servers, beside the members' troubles.
constexpr Kind other_kinds[] = {
    {"edge_kill", 0.5, 0.5, 0}, {"edge_freeze", 0.3, 10, 0}, {"edge_cut", 1, 12, 0}, {"node_leave", 0, 0, 0}};
// Only with traffic through the edges.
constexpr Kind traffic_kinds[] = {{"edge_term", 0.1, 0.5, 0},      {"edge_hup", 0, 0, 0},
                                  {"edge_stalled_log", 1, 6, 0},   {"edge_cut_in", 1, 8, 0},
                                  {"edge_cut_out", 1, 8, 0},       {"edge_cut_leader_in", 1, 8, 0},
                                  {"edge_cut_leader_out", 1, 8, 0}};
// Beside a series of changes.
constexpr const char* member_kinds_beside_changes[] = {"freeze", "cut_in", "cut_out", "cut"};
constexpr const char* edge_kinds_beside_changes[] = {
    "edge_freeze", "edge_cut", "edge_cut_in", "edge_cut_out", "edge_cut_leader_in", "edge_cut_leader_out"};
constexpr double most_share_aimed = 0.45;  // at whoever leads

const Kind* find(const std::string& name) {
  for (const Kind& kind : all_kinds)
    if (name == kind.name) return &kind;
  for (const Kind& kind : other_kinds)
    if (name == kind.name) return &kind;
  for (const Kind& kind : traffic_kinds)
    if (name == kind.name) return &kind;
  return nullptr;
}

}  // namespace

const std::vector<std::string>& kinds() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> each;
    for (const Kind& kind : all_kinds) each.emplace_back(kind.name);
    return each;
  }();
  return names;
}

Plan draw_plan(std::uint64_t seed, int members, double troubled_s, bool mixed,
               const std::vector<std::string>& only, bool traffic) {
  std::mt19937_64 random(seed * 2 + 1);
  auto between = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  Plan plan;
  plan.seed = seed;
  plan.members = members;
  plan.troubled_s = troubled_s;
  plan.mixed = mixed;
  std::vector<const Kind*> from;
  for (const Kind& kind : all_kinds) {
    const bool named = std::find(only.begin(), only.end(), kind.name) != only.end();
    if (only.empty() ? mixed || std::string_view(kind.name) != "swap" : named) from.push_back(&kind);
  }
  // As many befallen at once as the core bears; what would be one too many is left out as it comes up.
  for (int lane = 0; lane < (members - 1) / 2; ++lane)
    for (double at = between(0.3, 1.5); at < troubled_s;) {
      const Kind& kind = *from[random() % from.size()];
      // Most are short, so that many follow each other.
      double share = between(0, 1);
      double lasts = kind.least_s + (kind.most_s - kind.least_s) * share * share;
      lasts = std::min(lasts, std::max(kind.least_s, troubled_s - at));
      const bool aimed = between(0, 1) < most_share_aimed;
      plan.steps.push_back(
          {at, kind.name, aimed ? -1 : static_cast<int>(random() % static_cast<unsigned>(members)), lasts});
      at += lasts + kind.after_s + between(0, 1);
    }
  for (double at = between(1, 4); at < troubled_s; at += between(2, 6)) {
    const std::size_t drawn = random() % (std::size(other_kinds) + (traffic ? std::size(traffic_kinds) : 0));
    const Kind& kind =
        drawn < std::size(other_kinds) ? other_kinds[drawn] : traffic_kinds[drawn - std::size(other_kinds)];
    plan.steps.push_back({at, kind.name, static_cast<int>(random() % 3),
                          std::min(between(kind.least_s, kind.most_s), troubled_s - at + 1)});
  }
  for (double at = between(0.5, 6); at < troubled_s; at += between(6, 14))
    plan.steps.push_back({at, "storm", -1, 0});
  std::sort(plan.steps.begin(), plan.steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return plan;
}

Plan draw_changes_plan(std::uint64_t seed, int members, double troubled_s) {
  std::mt19937_64 random(seed * 2 + 1);
  auto between = [&](double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(random);
  };
  auto one_of = [&](const auto& names) { return names[random() % std::size(names)]; };
  Plan plan;
  plan.seed = seed;
  plan.members = members;
  plan.troubled_s = troubled_s;
  // The core counts as settled again some seconds into each trouble of a member, and after its end.
  for (double at = between(1, 6); at < troubled_s;) {
    const double lasts = between(0.3, 10);
    const int whom = between(0, 1) < 0.6 ? -1 : static_cast<int>(random() % static_cast<unsigned>(members));
    plan.steps.push_back({at, one_of(member_kinds_beside_changes), whom, lasts});
    at += lasts + between(3, 9);
  }
  for (double at = between(0.5, 3); at < troubled_s; at += between(2, 6))
    plan.steps.push_back(
        {at, one_of(edge_kinds_beside_changes), static_cast<int>(random() % 3), between(0.3, 6)});
  for (double at = between(2, 8); at < troubled_s; at += between(6, 14))
    plan.steps.push_back({at, "storm", -1, 0});
  std::sort(plan.steps.begin(), plan.steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return plan;
}

std::string text_of(const Plan& plan) {
  std::string text = fmt::format("seed {} members {} troubled {:.2f}{}\n", plan.seed, plan.members,
                                 plan.troubled_s, plan.mixed ? " mixed" : "");
  for (const Step& step : plan.steps)
    text += fmt::format("{:.2f} {} {} {:.2f}\n", step.at, step.kind,
                        step.whom < 0 ? "leader" : fmt::format("{}", step.whom), step.for_s);
  return text;
}

Plan read_plan(const std::string& path) {
  std::ifstream in(path);
  std::string line, word;
  if (!std::getline(in, line)) throw std::runtime_error(path + ": cannot be read");
  Plan plan;
  std::istringstream head(line);
  while (head >> word) {
    if (word == "mixed")
      plan.mixed = true;
    else if (!(word == "seed"       ? static_cast<bool>(head >> plan.seed)
               : word == "members"  ? static_cast<bool>(head >> plan.members)
               : word == "troubled" ? static_cast<bool>(head >> plan.troubled_s)
                                    : false))
      throw std::runtime_error(path + ":1: " + word);
  }
  if (plan.members < 1 || plan.members > 7) throw std::runtime_error(path + ":1: members: 1 to 7");
  for (int number = 2; std::getline(in, line); ++number) {
    if (line.empty()) continue;
    Step step;
    std::string whom;
    std::istringstream fields(line);
    if (!(fields >> step.at >> step.kind >> whom >> step.for_s) || (step.kind != "storm" && !find(step.kind)))
      throw std::runtime_error(fmt::format("{}:{}: TIME KIND MEMBER|leader SECONDS is wanted", path, number));
    step.whom = whom == "leader" ? -1 : std::atoi(whom.c_str());
    if (step.whom >= plan.members)
      throw std::runtime_error(fmt::format("{}:{}: no such member", path, number));
    plan.steps.push_back(step);
  }
  return plan;
}

}  // namespace pearspar::processes
