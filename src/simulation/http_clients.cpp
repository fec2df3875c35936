// Clients' side of the wire.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr std::size_t most_kept = 8;  // connections to one edge that rest

}  // namespace

// A connection to the edge that rests, or a new one.
std::uint64_t Cluster::Clients::line_to(Edge& edge) {
  std::vector<std::uint64_t> rests;
  for (auto& [number, line] : lines)
    if (line.edge == &edge && line.waiting.empty() && line.out.empty() &&
        line.end->state() == End::State::up && !line.end->ended())
      rests.push_back(number);
  if (!rests.empty() && (rests.size() >= most_kept || all.world_.chance(0.7)))
    return rests[all.world_.below(rests.size())];
  std::uint64_t number = ++next;
  Line& line = lines[number];
  line.edge = &edge;
  line.end = all.streams_.connect(edge.door);
  line.end->on_change = [this, number] { step(number); };
  return number;
}

// Some hold what looks like a request of its own.
std::string Cluster::Clients::body_for(const std::string& id) {
  World& world = all.world_;
  if (world.chance(0.2))
    return "\r\n\r\nPOST /u/inside HTTP/1.1\r\nHost: h\r\nRequest-Id: inside" + id +
           "\r\nContent-Length: 0\r\n\r\n";
  std::string body(world.below(world.chance(0.1) ? 4000 : 60), '\0');
  for (char& c : body) c = static_cast<char>(world.below(256));
  return body;
}

void Cluster::Clients::add(Line& line, const std::string& id, const std::string& method,
                           const std::string& target, const std::string& lines, const std::string& body,
                           bool repeatable) {
  Strikes& strikes = all.strikes_;
  bool two_names = strikes("two_request_ids");
  all.calls_.begun(id, {method, target, body, repeatable, id[0] == 'g', !two_names});
  all.count_for_services(*line.edge, id, target);
  ++all.totals_.asked;
  double deadline = all.world_.chance(0.5) ? 1500 : 100 + static_cast<double>(all.world_.below(600));
  bool with_body = method != "GET" && method != "HEAD";
  std::string name = strikes("lower_case") ? "request-id" : "Request-Id";
  // As a proxy is asked: the host of the target counts.
  bool absolute = strikes("absolute");
  std::string text = method + " " + (absolute ? "HTTP://h" : "") + target +
                     " HTTP/1.1\r\nHost: " + (absolute ? "other" : "h") + "\r\n" + name + ": " + id +
                     "\r\nDeadline-Ms: " + std::to_string(static_cast<int>(deadline)) + "\r\n" + lines;
  if (two_names) text += "Request-Id: " + id + "b\r\n";
  if (strikes("hop_lines"))
    text +=
        "Connection: keep-alive,x-hop , Request-Id\r\nX-Hop: 1\r\nconnection: host, X-Skip\r\nX-Skip: 2\r\n";
  if (strikes("many_lines"))
    for (int i = 0; i < 300; ++i) text += "X-Line: " + std::to_string(i) + "\r\n";
  bool chunks = with_body && strikes("chunks");
  bool asks_first = with_body && !body.empty() && strikes("expect");
  if (with_body)
    text +=
        chunks ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (asks_first) text += "Expect: 100-continue\r\n";
  text += "\r\n";
  std::string rest = !with_body ? "" : chunks ? in_chunks(body, all.world_) : body;
  Asked asked;
  asked.id = id;
  asked.head = method == "HEAD";
  asked.at = all.world_.now();
  if (asks_first)
    asked.held = rest;
  else
    text += rest;
  line.out += text;
  line.queued += text.size();
  asked.until = line.queued;
  line.waiting.push_back(std::move(asked));
  line.give_up = std::max(line.give_up, all.world_.now() + Duration(deadline / 1000 + 1.2));
}

void Cluster::Clients::send_one(Edge& edge, const std::string& id, const std::string& target,
                                const std::string& more) {
  std::uint64_t number = line_to(edge);
  add(lines.at(number), id, "GET", target, more, "", id[0] != 'u');
  step(number);
}

void Cluster::Clients::ask(Edge& edge, const std::string& kind) {
  std::uint64_t number = line_to(edge);
  Line& line = lines.at(number);
  std::size_t count = all.strikes_("pipelines") ? 2 + all.world_.below(3) : 1;
  for (std::size_t i = 0; i < count; ++i) {
    std::string each = i == 0 ? kind : std::string(1, "gsu"[all.world_.below(3)]);
    std::string id = each + std::to_string(++all.next_request_);
    std::string method = each == "g" || all.world_.chance(0.4) ? "GET" : "POST";
    if (method == "GET" && all.strikes_("heads")) method = "HEAD";
    std::string target = "/" + each + "/x?q=" + std::to_string(all.world_.below(100));
    add(line, id, method, target, "X-More: some\r\n", method == "POST" ? body_for(id) : "", each != "u");
    if (!line.waiting.back().held.empty()) break;  // what follows would come before its body
  }
  trouble(number);
  step(number);
}

void Cluster::Clients::trouble(std::uint64_t number) {
  Line& line = lines.at(number);
  Strikes& strikes = all.strikes_;
  World& world = all.world_;
  if (strikes("client_cut")) {
    // Its request ends anywhere, and then the connection.
    std::size_t keep = world.below(line.out.size());
    line.queued -= line.out.size() - keep;
    line.out.resize(keep);
    line.waiting.back().until = std::string::npos;
    for (Asked& asked : line.waiting)
      if (asked.until > line.queued) asked.until = std::string::npos, asked.held.clear();
    const bool reset = world.chance(0.5);
    world.in(Duration(world.uniform(0, 0.01)), [this, number, reset] { drop(number, reset); });
  }
  if (strikes("client_slow")) line.slow_until = world.now() + Duration(world.uniform(0.1, 5));
  if (strikes("client_deaf")) line.deaf_until = world.now() + Duration(world.uniform(0.05, 1));
  if (strikes("client_half_close"))
    world.in(Duration(world.uniform(0, 0.03)), [this, number] {
      if (auto found = lines.find(number); found != lines.end()) found->second.end->finish();
    });
  if (strikes("client_silent"))
    world.in(Duration(world.uniform(0, 0.03)), [this, number] {
      if (auto found = lines.find(number); found != lines.end()) found->second.end->hush();
    });
  if (strikes("client_gone")) {
    // The next takes its place at once.
    std::string kind(1, "gsu"[world.below(3)]);
    const bool reset = world.chance(0.5);
    world.in(Duration(world.uniform(0, 0.05)), [this, number, kind, reset] {
      auto found = lines.find(number);
      if (found == lines.end()) return;
      Edge& edge = *found->second.edge;
      drop(number, reset);
      if (edge.process) send_one(edge, kind + std::to_string(++all.next_request_), "/" + kind + "/y", "");
    });
  }
}

void Cluster::Clients::drop(std::uint64_t number, bool reset) {
  auto found = lines.find(number);
  if (found == lines.end()) return;
  EndPtr end = std::move(found->second.end);
  std::deque<Asked> waiting = std::move(found->second.waiting);
  lines.erase(found);
  end->on_change = [] {};
  reset ? end->reset() : end->close();
  for (const Asked& asked : waiting) all.heard(asked.id, 0, "", "", "");
}

void Cluster::Clients::look_again(std::uint64_t number, Time when) {
  all.world_.at(when, [this, number] { step(number); });
}

void Cluster::Clients::flush(std::uint64_t number) {
  Line& line = lines.at(number);
  std::size_t before = line.written;
  if (line.slow_until > all.world_.now()) {
    if (!line.out.empty()) {
      std::size_t size = line.end->write(std::string_view(line.out).substr(0, 1 + all.world_.below(40)));
      line.out.erase(0, size);
      line.written += size;
      look_again(number, all.world_.now() + Duration(all.world_.uniform(0.02, 0.3)));
    }
  } else if (!line.out.empty()) {
    std::size_t size = line.end->write(line.out);
    line.out.erase(0, size);
    line.written += size;
  }
  if (line.written == before) return;
  for (Asked& asked : line.waiting)
    if (!asked.sent && asked.held.empty() && line.written >= asked.until) {
      asked.sent = true;
      all.calls_.sent(asked.id);
    }
}

void Cluster::Clients::step(std::uint64_t number) {
  auto found = lines.find(number);
  if (found == lines.end()) return;
  Line& line = found->second;
  switch (line.end->state()) {
    case End::State::coming:
      if (line.give_up <= all.world_.now()) return drop(number, false);
      return look_again(number, line.give_up);
    case End::State::refused:
      return drop(number, false);
    default:
      break;
  }
  flush(number);
  if (line.deaf_until > all.world_.now()) return look_again(number, line.deaf_until);
  line.in += line.end->take();
  if (!read(number)) return;
  if (line.end->state() != End::State::up || line.end->ended()) return drop(number, false);
  if (line.waiting.empty()) return;
  if (line.give_up <= all.world_.now()) return drop(number, all.world_.chance(0.5));
  look_again(number, line.give_up);
}

void Cluster::Clients::note(const Asked& asked, int status) {
  double waited = (all.world_.now() - asked.at).count();
  Heard& heard = all.heard_[asked.id[0] + std::to_string(status)];
  ++heard.count;
  heard.longest_s = std::max(heard.longest_s, waited);
}

// False where the connection is gone afterwards.
bool Cluster::Clients::read(std::uint64_t number) {
  Line& line = lines.at(number);
  PlainMessage answer;
  while (!line.in.empty()) {
    if (line.waiting.empty()) {
      all.calls_.stray(line.edge->name + " sent " + std::to_string(line.in.size()) +
                       " bytes where nobody waits");
      return drop(number, true), false;
    }
    Plain result = take_message(line.in, true, answer, line.waiting.front().head);
    if (result == Plain::more) return true;
    if (result == Plain::broken) {
      all.calls_.stray(line.edge->name + " sent what is no answer: " + line.in.substr(0, 40));
      return drop(number, true), false;
    }
    if (answer.status() < 200) {
      if (answer.start != "HTTP/1.1 100 Continue" || !answer.headers.empty())
        all.calls_.stray(line.edge->name + " sent a word that is none: " + answer.start);
      // The word that a body waits for.
      Asked& front = line.waiting.front();
      std::string held = std::exchange(front.held, {});
      if (held.empty()) continue;
      line.out += held;
      line.queued += held.size();
      front.until = line.queued;
      flush(number);
      continue;
    }
    Asked asked = std::move(line.waiting.front());
    line.waiting.pop_front();
    all.calls_.heard(asked.id, {answer.status(), answer.header("Request-Id"),
                                asked.id[0] == 'g' ? "" : answer.header("Postmark"), answer.body,
                                answer.header("Content-Length")});
    note(asked, answer.status());
    all.heard(asked.id, answer.status(), answer.header("Part-Postmarks"), answer.header("Missing-Parts"),
              answer.body);
    if (answer.header("Connection") == "close" || !asked.sent) return drop(number, false), false;
  }
  return true;
}

}  // namespace pearspar::simulation
