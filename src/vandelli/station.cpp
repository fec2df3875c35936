#include "vandelli/station.h"

#include <cmath>

namespace pearspar::vandelli {

Station::Station(puez::Wire& wire, vazzoler::FollowerOptions options, pederu::Calls& calls,
                 const pederu::AllowanceRules& rules)
    : follower_(wire, std::move(options)), desk_(calls) {
  desk_.set_allowance(rules);
}

void Station::link_frame(Time now, puez::LinkId link, std::string_view frame) {
  follower_.tell_coverage(static_cast<std::uint32_t>(std::lround(desk_.coverage() * 100)));
  if (follower_.frame(now, link, frame)) take_news();
  for (const auto& [until, tokens] : follower_.take_granted())
    desk_.allowance().granted(until, tokens.depot, tokens.count);
}

void Station::take_news() {
  vazzoler::View& view = follower_.view();
  for (const std::string& id : view.take_touched()) desk_.nodes().update(id, view.nodes().find(id));
  desk_.set_edges(view.edges());
  if (!began_ && view.at() != fanes::Position{}) {
    began_ = true;
    desk_.begin_coverage(view.coverage());
  }
  if (view.edition() == routed_) return;
  routed_ = view.edition();
  desk_.set_routes(std::make_shared<const pederu::Routes>(view.configuration()));
}

void Station::ask_for_tokens(Time now) {
  if (!follower_.may_want(now)) return;
  std::vector<fanes::Tokens> tokens;
  for (auto& [depot, count] : desk_.allowance().take_wanted(now)) tokens.push_back({depot, count});
  if (!tokens.empty()) follower_.want(now, std::move(tokens));
}

void Station::advance(Time now) {
  if (follower_.tick(now)) take_news();
  desk_.advance(now);
  ask_for_tokens(now);
}

}  // namespace pearspar::vandelli
