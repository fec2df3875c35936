#include "trial/schedule.h"

#include <fmt/format.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <numeric>
#include <random>
#include <sstream>
#include <stdexcept>

namespace pearspar::trial {
namespace {

namespace pb = google::protobuf;
using plan::Schedule;
using plan::Step;

class FirstFault : public pb::io::ErrorCollector {
 public:
  void AddError(int line, pb::io::ColumnNumber column, const std::string& what) override {
    if (text.empty()) text = fmt::format("{}:{}: {}", line + 1, column + 1, what);
  }
  std::string text;
};

class Writer {
 public:
  Writer(Schedule& schedule, std::uint64_t seed) : schedule_(schedule), random_(seed) {}

  Step& step(double at, plan::Deed deed, const std::vector<int>& brokers = {}) {
    Step& step = *schedule_.add_steps();
    step.set_at(at);
    step.set_deed(deed);
    for (int broker : brokers) step.add_brokers(static_cast<std::uint32_t>(broker));
    return step;
  }
  void calm(double at) { step(at, plan::CALM); }
  int n() const { return static_cast<int>(schedule_.brokers()); }
  int any(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  double between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  // So many brokers by chance.
  std::vector<int> some(int count) {
    std::vector<int> all(static_cast<std::size_t>(n()));
    std::iota(all.begin(), all.end(), 0);
    std::shuffle(all.begin(), all.end(), random_);
    all.resize(static_cast<std::size_t>(std::clamp(count, 1, n() - 1)));
    return all;
  }

 private:
  Schedule& schedule_;
  std::mt19937_64 random_;
};

void removable(Step& step, const std::vector<int>& brokers) {
  for (int broker : brokers) step.add_removable(static_cast<std::uint32_t>(broker));
}

void crash(Writer& w, int count) {
  const std::vector<int> some = w.some(count);
  w.step(1, plan::KILL, some);
  w.calm(1);
  w.step(1, plan::START, some);
  w.calm(1);
}

void kill_and_restart_at_once(Writer& w) {
  const std::vector<int> one = w.some(1);
  w.step(1, plan::KILL, one);
  w.step(1.4, plan::START, one);
  w.calm(1.4);
}

void elsewhere(Writer& w) {
  const std::vector<int> one = w.some(1);
  w.step(1, plan::KILL, one);
  w.step(w.between(1.2, 20), plan::START_ELSEWHERE, one);
  w.calm(20);
}

void leave(Writer& w, int count) {
  const std::vector<int> some = w.some(count);
  w.step(1, plan::TERM, some);
  w.calm(1);
  w.step(10, plan::START, some);
  w.calm(10);
}

void split(Writer& w, int parts, double periods) {
  Step& cut = w.step(1, plan::LINKS);
  cut.set_all_removable(true);
  for (int part = 0; part < parts; ++part) {
    plan::Group& group = *cut.mutable_network()->add_groups();
    for (int i = part; i < w.n(); i += parts) group.add_brokers(static_cast<std::uint32_t>(i));
  }
  w.calm(1 + periods);
}

void lossy_all(Writer& w, double loss, double periods) {
  Step& trouble = w.step(1, plan::LINKS);
  plan::Link& link = *trouble.mutable_network()->mutable_all();
  link.set_loss(loss);
  link.set_delay_ms(2);
  link.set_jitter_ms(15);
  link.set_twice(0.02);
  link.set_spoilt(0.005);
  w.calm(1 + periods);
}

void roll_by_tenths(Writer& w, double loss) {
  Step& trouble = w.step(1, plan::LINKS);
  trouble.mutable_network()->mutable_all()->set_loss(loss);
  const int tenth = std::max(1, w.n() / 10);
  double at = 2;
  for (int from = 0; from < w.n(); from += tenth) {
    std::vector<int> some;
    for (int i = from; i < std::min(w.n(), from + tenth); ++i) some.push_back(i);
    w.step(at, plan::TERM, some);
    w.step(at + 8, plan::START, some);
    at += 10;
  }
  w.calm(at + 2);
}

void one_lossy(Writer& w, double loss, double periods) {
  const std::vector<int> one = w.some(1);
  Step& trouble = w.step(1, plan::LINKS);
  removable(trouble, one);
  for (bool from : {true, false}) {
    plan::Way& way = *trouble.mutable_network()->add_ways();
    (from ? way.mutable_from() : way.mutable_to())->Add(static_cast<std::uint32_t>(one.front()));
    way.mutable_link()->set_loss(loss);
  }
  w.calm(1 + periods);
}

void one_way(Writer& w, double periods) {
  const std::vector<int> two = w.some(2);
  Step& trouble = w.step(1, plan::LINKS);
  plan::Way& way = *trouble.mutable_network()->add_ways();
  way.add_from(static_cast<std::uint32_t>(two[0]));
  way.add_to(static_cast<std::uint32_t>(two[1]));
  way.mutable_link()->set_cut(true);
  w.calm(1 + periods);
}

void short_stop(Writer& w) {
  w.step(1, plan::STOP, w.some(1)).set_for_periods(2.5);
  w.calm(4);
}

void long_stop(Writer& w, double periods) {
  const std::vector<int> one = w.some(1);
  w.step(1, plan::STOP, one);
  w.step(1 + periods, plan::CONTINUE, one);
  w.calm(1 + periods);
}

void hold(Writer& w, double periods) {
  w.step(1, plan::HOLD, w.some(1)).set_for_periods(periods);
  w.calm(1 + periods);
}

void noise(Writer& w, double periods) {
  w.step(1, plan::NOISE, w.some(w.n() / 4)).set_for_periods(periods);
  const std::vector<int> one = w.some(1);
  w.step(1 + periods / 2, plan::KILL, one);
  w.step(2 + periods, plan::START, one);
  w.calm(2 + periods);
}

void twin(Writer& w) {
  w.step(1, plan::START_TWIN, w.some(1));
  w.calm(1);
}

void seeds_gone(Writer& w) {
  const std::vector<int> seeds = w.n() > 3 ? std::vector<int>{0, 1, 2} : std::vector<int>{0};
  w.step(1, plan::SEEDS_GONE);
  w.step(1, plan::KILL, seeds);
  w.calm(1);
  w.step(1, plan::START, seeds);
  w.calm(1);
}

struct Named {
  const char* name;
  std::function<void(Writer&)> write;
};

const std::vector<Named>& cases() {
  static const std::vector<Named> all = {{"start", [](Writer& w) { w.calm(20); }},
                                         {"crash", [](Writer& w) { crash(w, 1); }},
                                         {"third-killed", [](Writer& w) { crash(w, w.n() / 3); }},
                                         {"restart-at-once", kill_and_restart_at_once},
                                         {"elsewhere", elsewhere},
                                         {"leave", [](Writer& w) { leave(w, std::max(1, w.n() / 8)); }},
                                         {"roll-lossy", [](Writer& w) { roll_by_tenths(w, 0.1); }},
                                         {"split-in-half", [](Writer& w) { split(w, 2, 50); }},
                                         {"split-in-three", [](Writer& w) { split(w, 3, 50); }},
                                         {"one-way", [](Writer& w) { one_way(w, 100); }},
                                         {"one-lossy", [](Writer& w) { one_lossy(w, 0.5, 100); }},
                                         {"short-stop", short_stop},
                                         {"long-stop", [](Writer& w) { long_stop(w, 50); }},
                                         {"hold", [](Writer& w) { hold(w, 50); }},
                                         {"noise", [](Writer& w) { noise(w, 30); }},
                                         {"twin", twin},
                                         {"seeds-gone", seeds_gone},
                                         {"lossy", [](Writer& w) { lossy_all(w, 0.1, 100); }}};
  return all;
}

// In the first of two steps the first two of three parts are joined again.
void heal_in_two_steps(Schedule& schedule) {
  Step healed = schedule.steps(0);
  plan::Network& network = *healed.mutable_network();
  network.mutable_groups(0)->MergeFrom(network.groups(1));
  network.mutable_groups()->DeleteSubrange(1, 1);
  healed.set_at(schedule.steps(1).at());
  const Step calm = schedule.steps(1);
  schedule.mutable_steps()->DeleteSubrange(1, 1);
  *schedule.add_steps() = healed;
  *schedule.add_steps() = calm;
  schedule.mutable_steps(2)->set_at(calm.at() + 30);
}

}  // namespace

Schedule read_schedule(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error(path + ": cannot be opened");
  std::stringstream text;
  text << file.rdbuf();
  const std::string whole = text.str();
  Schedule schedule;
  FirstFault fault;
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&fault);
  pb::io::ArrayInputStream stream(whole.data(), static_cast<int>(whole.size()));
  if (!parser.Parse(&stream, &schedule)) throw std::runtime_error(path + ":" + fault.text);
  if (std::string wrong = fault_of(schedule); !wrong.empty()) throw std::runtime_error(path + ": " + wrong);
  return schedule;
}

std::string text_of(const Schedule& schedule) {
  std::string text;
  pb::TextFormat::PrintToString(schedule, &text);
  return text;
}

std::string fault_of(const Schedule& schedule) {
  if (schedule.brokers() < 1 || schedule.brokers() > 200)
    return fmt::format("brokers: {} is not from 1 to 200", schedule.brokers());
  if (schedule.period_ms() < 20 || schedule.period_ms() > 60'000)
    return fmt::format("period_ms: {} is not from 20 to 60000", schedule.period_ms());
  for (int i = 0; i < schedule.steps_size(); ++i) {
    const Step& step = schedule.steps(i);
    for (std::uint32_t broker : step.brokers())
      if (broker >= schedule.brokers())
        return fmt::format("steps[{}].brokers: there is no broker {}", i, broker);
    if (step.deed() == plan::NONE) return fmt::format("steps[{}].deed: is missing", i);
    if (!(step.at() >= 0)) return fmt::format("steps[{}].at: {} is not from 0 on", i, step.at());
    const bool of_some =
        step.deed() != plan::LINKS && step.deed() != plan::CALM && step.deed() != plan::SEEDS_GONE;
    if (of_some && step.brokers_size() == 0) return fmt::format("steps[{}].brokers: is missing", i);
  }
  return {};
}

std::vector<std::string> case_names() {
  std::vector<std::string> names;
  for (const Named& each : cases()) names.push_back(each.name);
  return names;
}

std::optional<Schedule> make_case(const std::string& name, int brokers, int period_ms, std::uint64_t seed) {
  for (const Named& each : cases()) {
    if (each.name != name) continue;
    Schedule schedule;
    schedule.set_title(name);
    schedule.set_seed(seed);
    schedule.set_brokers(static_cast<std::uint32_t>(brokers));
    schedule.set_period_ms(static_cast<std::uint32_t>(period_ms));
    Writer writer(schedule, seed);
    each.write(writer);
    if (name == "split-in-three") heal_in_two_steps(schedule);
    if (name == "start") schedule.set_seeds(1);
    return schedule;
  }
  return std::nullopt;
}

Schedule draw_schedule(std::uint64_t seed, int brokers, int period_ms) {
  Schedule schedule;
  schedule.set_seed(seed);
  schedule.set_brokers(static_cast<std::uint32_t>(brokers));
  schedule.set_period_ms(static_cast<std::uint32_t>(period_ms));
  Writer w(schedule, seed);
  const std::vector<std::pair<const char*, std::function<void()>>> troubles = {
      {"crash", [&] { crash(w, 1 + w.any(std::max(0, w.n() / 3 - 1))); }},
      {"restart-at-once", [&] { kill_and_restart_at_once(w); }},
      {"elsewhere", [&] { elsewhere(w); }},
      {"leave", [&] { leave(w, 1 + w.any(std::max(0, w.n() / 3 - 1))); }},
      {"split", [&] { split(w, 2 + w.any(1), w.between(5, 80)); }},
      {"lossy", [&] { lossy_all(w, w.between(0.01, 0.1), w.between(20, 100)); }},
      {"one-lossy", [&] { one_lossy(w, w.between(0.2, 0.5), w.between(20, 100)); }},
      {"one-way", [&] { one_way(w, w.between(20, 100)); }},
      {"short-stop", [&] { short_stop(w); }},
      {"long-stop", [&] { long_stop(w, w.between(20, 60)); }},
      {"hold", [&] { hold(w, w.between(20, 60)); }},
      {"noise", [&] { noise(w, w.between(10, 40)); }},
      {"twin", [&] { twin(w); }}};
  const int count = 1 + w.any(2);
  std::string title;
  for (int i = 0; i < count; ++i) {
    const auto& [name, write] =
        troubles[static_cast<std::size_t>(w.any(static_cast<int>(troubles.size()) - 1))];
    title += fmt::format("{}{}", title.empty() ? "" : "+", name);
    write();
  }
  schedule.set_title(title);
  return schedule;
}

std::vector<Schedule> shorter(const Schedule& schedule) {
  // Where each trouble begins.
  std::vector<int> begins = {0};
  for (int i = 0; i + 1 < schedule.steps_size(); ++i)
    if (schedule.steps(i).deed() == plan::CALM) begins.push_back(i + 1);
  std::vector<Schedule> all;
  if (begins.size() < 2) return all;
  begins.push_back(schedule.steps_size());
  for (std::size_t i = 0; i + 1 < begins.size(); ++i) {
    Schedule each = schedule;
    each.mutable_steps()->DeleteSubrange(begins[i], begins[i + 1] - begins[i]);
    all.push_back(std::move(each));
  }
  return all;
}

}  // namespace pearspar::trial
