// What befalls before a search, as its part tells it.
#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "simulation/explore_space.h"

namespace pearspar::simulation {

// All that is said is heard, in order, by those who hear.
void Space::open(State& state) {
  static const std::pair<const char*, Kind> kinds[] = {
      {"timeout", Kind::timeout}, {"beat", Kind::beat},   {"lapse", Kind::lapse}, {"crash", Kind::crash},
      {"appear", Kind::appear},   {"leave", Kind::leave}, {"end", Kind::end},     {"propose", Kind::propose},
      {"pass", Kind::pass},       {"tick", Kind::tick},   {"wipe", Kind::wipe},   {"to", Kind::deliver},
      {"lost", Kind::lose}};
  in_flight_ = most_flying;
  std::istringstream words(options_.opening);
  for (std::string word; words >> word;) {
    std::size_t digit = word.find_first_of("0123456789"), colon = word.find(':');
    auto whom = static_cast<std::uint32_t>(word[digit] - '0');
    std::string hear = colon == word.npos ? "0123456789" : word.substr(colon);
    std::string fault;
    auto take = [&](const Event& event) {
      if (auto after = next(state, event, fault)) state = *after;
    };
    bool known = false;
    for (const auto& [name, kind] : kinds) {
      if (word.substr(0, digit) != name) continue;
      if (!about_message(kind)) take({kind, whom}), known = true;
      // All that is lost, or the first that is delivered.
      for (std::size_t i = 0; i < most_flying && about_message(kind) && state.flying[i] != 0; ++i) {
        if (letters_[state.flying[i]].to != whom || (known && kind == Kind::deliver)) continue;
        take({kind, state.flying[i--]});
        known = true;
      }
    }
    while (state.flying[0] != 0 && hear != ":") {
      const Letter& letter = letters_[state.flying[0]];
      bool heard = hear.find(static_cast<char>('0' + letter.to)) != hear.npos && body(state, letter.to).core;
      take({heard ? Kind::deliver : Kind::lose, state.flying[0]});
    }
    if (!known || !fault.empty()) {
      std::fprintf(stderr, "%s of \"%s\": %s\n", word.c_str(), options_.opening.c_str(), fault.c_str());
      for (std::size_t i = 0; i < most_flying && state.flying[i] != 0; ++i)
        std::fprintf(stderr, "  %s\n", tell(state, {Kind::deliver, state.flying[i]}).c_str());
      for (std::uint32_t i = 0; i < bodies_; ++i)
        std::fprintf(stderr, "  %s\n", tell(state, {Kind::tick, i}).c_str());
      std::abort();  // a part that cannot begin
    }
  }
  in_flight_ = options_.in_flight;
}

}  // namespace pearspar::simulation
