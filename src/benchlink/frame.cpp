#include "benchlink/frame.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>

namespace pearspar::benchlink {
namespace {

static_assert(std::endian::native == std::endian::little, "frames are little-endian and copied byte by byte");

// Codes of the records in a batch.
enum EventCode : std::uint8_t {
  start_instance = 1,
  members_changed = 2,
  arrival = 3,
  stream_started = 4,
  attempt_ended = 5,
  client_disconnected = 6,
  timer_fired = 7,
  probe_ended = 8,
  peer_message = 9,
  stop_instance = 10,
  store_members = 11,
  select_instance = 12
};

// Codes of the records in a reply.
enum ActionCode : std::uint8_t {
  report_crash = 1,
  send_to_peer = 2,
  probe_node = 3,
  drop_idle_connections = 4,
  fetch_members = 5,
  instance_header = 6,
  answer_query = 7,
  set_timer = 8,
  send_part = 9,
  fail_query = 10,
  log_line = 11,
  refuse_query = 12,
  cancel_attempt = 13,
  subscribe_members = 14
};

constexpr std::size_t member_record_size = 22;
constexpr std::uint8_t max_list_slot = 15;
constexpr std::size_t max_text_size = 65535;

// Reads a frame field by field and throws FrameError where it ends too early.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T read() {
    require(sizeof(T));
    T value;
    std::memcpy(&value, bytes_.data() + position_, sizeof(T));
    position_ += sizeof(T);
    return value;
  }

  std::string read_text(std::size_t size) {
    require(size);
    std::string text(reinterpret_cast<const char*>(bytes_.data()) + position_, size);
    position_ += size;
    return text;
  }

  Time read_time() { return Time(Duration(read_finite<double>("time"))); }
  Duration read_duration() { return Duration(read_finite<double>("duration")); }

  template <typename T>
  T read_finite(const char* what) {
    T value = read<T>();
    if (!std::isfinite(value)) throw FrameError(std::string(what) + " is not a finite number");
    return value;
  }

  // An integer that is sent as a 32-bit float.
  std::int64_t read_integer(const char* what) {
    double value = read_finite<float>(what);
    if (std::abs(value) > 4294967295.0 || value != std::floor(value))
      throw FrameError(std::string(what) + " is not an integer");
    return static_cast<std::int64_t>(value);
  }

  std::size_t remaining() const { return bytes_.size() - position_; }

 private:
  void require(std::size_t size) const {
    if (remaining() < size) throw FrameError("record extends beyond its frame");
  }

  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

Outcome to_outcome(std::uint16_t code) {
  switch (code) {
    case 0:
      return Outcome::error;
    case 1:
      return Outcome::ok;
    case 2:
      return Outcome::refused;
    case 3:
      return Outcome::timeout;
    case 4:
      return Outcome::connect_failed;
    case 5:
      return Outcome::reset;
    case 6:
      return Outcome::cancelled;
    case 7:
      return Outcome::not_sent;
    default:
      throw FrameError("unknown outcome code " + std::to_string(code));
  }
}

std::vector<double> read_report(Reader& in) {
  std::vector<double> report(in.read<std::uint8_t>());
  for (double& value : report) value = in.read<float>();
  return report;
}

Member read_member(Reader& in) {
  Member member;
  member.node = in.read<std::uint32_t>();
  member.zone = in.read<std::uint8_t>();
  member.kind = in.read<std::uint16_t>();
  member.cell = in.read<std::uint16_t>();
  switch (std::uint8_t status = in.read<std::uint8_t>()) {
    case 0:
      member.status = NodeStatus::gone;
      break;
    case 1:
      member.status = NodeStatus::ready;
      break;
    case 2:
      member.status = NodeStatus::draining;
      break;
    default:
      throw FrameError("unknown node status " + std::to_string(status));
  }
  member.rating = in.read_finite<float>("rating");
  double started = in.read_finite<double>("start time");
  member.start_known = started != 0;
  member.started = Time(Duration(started));
  return member;
}

MemberListStored read_member_list(Reader& in) {
  MemberListStored list;
  list.slot = in.read<std::uint8_t>();
  if (list.slot > max_list_slot)
    throw FrameError("member list number " + std::to_string(list.slot) + " is above 15");
  std::uint32_t count = in.read<std::uint32_t>();
  if (in.remaining() / member_record_size < count) throw FrameError("member list is longer than its frame");
  auto members = std::make_shared<std::vector<Member>>();
  members->reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) members->push_back(read_member(in));
  list.members = std::move(members);
  return list;
}

MemberListChanged read_members_changed(Reader& in) {
  MemberListChanged changed;
  switch (std::uint8_t form = in.read<std::uint8_t>()) {
    case 0:
      changed.form = MemberListForm::delta;
      break;
    case 1:
      changed.form = MemberListForm::full;
      break;
    case 2:
      changed.form = MemberListForm::saved;
      break;
    case 3:
      changed.form = MemberListForm::failed;
      break;
    default:
      throw FrameError("unknown member list form " + std::to_string(form));
  }
  changed.version = in.read<std::uint32_t>();
  changed.slot = in.read<std::uint8_t>();
  return changed;
}

Event read_arrival(Reader& in) {
  std::uint32_t id = in.read<std::uint32_t>();
  int cls = in.read<std::uint16_t>();
  auto tenant = static_cast<std::int32_t>(in.read<std::uint32_t>());
  std::uint64_t key = in.read<std::uint64_t>();
  Time deadline = in.read_time();
  Duration cost = Duration(in.read<double>());
  std::int64_t ordinal = in.read_integer("query ordinal");
  std::int64_t shard = in.read_integer("shard");
  double amount = in.read_finite<float>("amount");
  std::uint16_t options = in.read<std::uint16_t>();
  bool cost_known = (options & 1) != 0 && std::isfinite(cost.count());
  if (ordinal < 0) throw FrameError("query ordinal is negative");
  if (shard < 0) {
    if (amount < 0 || amount > 1e9) throw FrameError("number of parts is out of range");
    QueryArrived query;
    query.query = id;
    query.ordinal = static_cast<std::uint32_t>(ordinal);
    query.cls = cls;
    query.tenant = tenant;
    query.key = key;
    query.deadline = deadline;
    query.cost_known = cost_known;
    query.cost = cost;
    query.parts = static_cast<int>(amount);
    query.repeat = (options & 2) != 0;
    query.write = (options & 4) != 0;
    return query;
  }
  if (shard > 0x7fffffff) throw FrameError("shard is out of range");
  PartArrived part;
  part.part = id;
  part.ordinal = static_cast<std::uint32_t>(ordinal);
  part.shard = static_cast<int>(shard);
  part.weight = amount;
  part.key = key;
  part.cost_known = cost_known;
  part.cost = cost;
  return part;
}

Event read_attempt_ended(Reader& in) {
  AttemptEnded ended;
  ended.part = in.read<std::uint32_t>();
  ended.node = in.read<std::uint32_t>();
  ended.took = in.read_duration();
  ended.outcome = to_outcome(in.read<std::uint16_t>());
  ended.part_open = in.read<std::uint8_t>() == 0;  // the frame holds whether it is closed
  ended.attempt = in.read<std::uint8_t>();
  ended.report = read_report(in);
  return ended;
}

Event read_probe_ended(Reader& in) {
  ProbeEnded ended;
  ended.took = in.read_duration();
  ended.outcome = to_outcome(in.read<std::uint16_t>());
  ended.node = in.read<std::uint32_t>();
  ended.report = read_report(in);
  return ended;
}

Event read_stream_started(Reader& in) {
  StreamStarted started;
  started.part = in.read<std::uint32_t>();
  started.attempt = in.read<std::uint8_t>();
  started.node = in.read<std::uint32_t>();
  started.took = in.read_duration();
  return started;
}

Record read_record(Reader& in) {
  switch (std::uint8_t code = in.read<std::uint8_t>()) {
    case select_instance:
      return InstanceSelected{in.read<std::uint32_t>()};
    case start_instance: {
      InstanceStarted started;
      started.seed = in.read<std::uint64_t>();
      started.settings = in.read_text(in.read<std::uint32_t>());
      return started;
    }
    case store_members:
      return read_member_list(in);
    case members_changed:
      return read_members_changed(in);
    case arrival:
      return read_arrival(in);
    case stream_started:
      return read_stream_started(in);
    case attempt_ended:
      return read_attempt_ended(in);
    case client_disconnected:
      return Event(ClientDisconnected{in.read<std::uint32_t>()});
    case timer_fired:
      return Event(TimerFired{in.read<std::uint64_t>()});
    case probe_ended:
      return read_probe_ended(in);
    case peer_message: {
      PeerMessage message;
      message.from = in.read<std::uint32_t>();
      message.payload = in.read_text(in.read<std::uint16_t>());
      return Event(std::move(message));
    }
    case stop_instance:
      return InstanceStopped{};
    default:
      throw FrameError("unknown record code " + std::to_string(code));
  }
}

template <typename T>
void put(Bytes& out, T value) {
  std::size_t at = out.size();
  out.resize(at + sizeof(T));
  std::memcpy(out.data() + at, &value, sizeof(T));
}

void put_code(Bytes& out, ActionCode code) { put(out, static_cast<std::uint8_t>(code)); }

// Cuts longer texts, at the start of a UTF-8 character.
void put_text(Bytes& out, const std::string& text) {
  std::size_t size = std::min(text.size(), max_text_size);
  while (size < text.size() && size > 0 && (static_cast<unsigned char>(text[size]) & 0xc0) == 0x80) --size;
  put(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

// Appends one action to a reply.
struct Encoder {
  Bytes& out;

  void operator()(const SendPart& a) const {
    put_code(out, send_part);
    put(out, a.part);
    put(out, a.node);
    put(out, a.max_wait.count());
  }
  void operator()(const CancelAttempt& a) const {
    put_code(out, cancel_attempt);
    put(out, a.part);
    put(out, static_cast<std::uint8_t>(a.attempt));
  }
  void operator()(const AnswerQuery& a) const {
    put_code(out, answer_query);
    put(out, a.query);
    put(out, static_cast<std::uint8_t>(a.whole ? 1 : 0));
  }
  void operator()(const RefuseQuery& a) const {
    put_code(out, refuse_query);
    put(out, a.query);
    put(out, a.retry_after.count());
  }
  void operator()(const FailQuery& a) const {
    put_code(out, fail_query);
    put(out, a.query);
  }
  void operator()(const ProbeNode& a) const {
    put_code(out, probe_node);
    put(out, a.node);
  }
  void operator()(const SendToPeer& a) const {
    put_code(out, send_to_peer);
    put(out, a.to);
    put_text(out, a.payload);
  }
  void operator()(const FetchMembers&) const { put_code(out, fetch_members); }
  void operator()(const SubscribeMembers& a) const {
    put_code(out, subscribe_members);
    put(out, static_cast<std::uint8_t>(a.on ? 1 : 0));
  }
  void operator()(const SetTimer& a) const {
    put_code(out, set_timer);
    put(out, a.after.count());
    put(out, a.token);
  }
  void operator()(const DropIdleConnections& a) const {
    put_code(out, drop_idle_connections);
    put(out, a.node);
  }
  void operator()(const LogLine& a) const {
    put_code(out, log_line);
    put_text(out, a.text);
  }
};

}  // namespace

std::size_t declared_frame_size(std::span<const std::uint8_t> header) {
  std::uint32_t size = Reader(header).read<std::uint32_t>();
  if (size < batch_header_size) throw FrameError("frame length is shorter than its header");
  if (size > max_frame_size) throw FrameError("frame length is over 1 GiB");
  return size;
}

Batch decode_batch(std::span<const std::uint8_t> frame) {
  if (declared_frame_size(frame) != frame.size())
    throw FrameError("frame size differs from the length in its header");
  Reader in(frame);
  in.read<std::uint32_t>();
  Batch batch;
  batch.now = in.read_time();
  std::uint32_t count = in.read<std::uint32_t>();
  if (count > in.remaining()) throw FrameError("frame has more records than bytes");
  batch.records.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) batch.records.push_back(read_record(in));
  if (in.remaining() != 0) throw FrameError("frame has bytes after its last record");
  return batch;
}

void ReplyWriter::begin_instance(std::uint32_t number) {
  put_code(body_, instance_header);
  put(body_, number);
  ++records_;
}

void ReplyWriter::add_action(const Action& action) {
  std::visit(Encoder{body_}, action);
  ++records_;
}

void ReplyWriter::add_crash(const std::string& text) {
  put_code(body_, report_crash);
  put_text(body_, text);
  ++records_;
}

Bytes ReplyWriter::finish() const {
  Bytes reply;
  reply.reserve(body_.size() + 8);
  put(reply, records_);
  put(reply, static_cast<std::uint32_t>(body_.size() + 8));
  reply.insert(reply.end(), body_.begin(), body_.end());
  return reply;
}

}  // namespace pearspar::benchlink
