// Tests of the frame codec on fixed byte sequences, and of the settings in text form.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <cstring>

#include "benchlink/frame.h"
#include "settings/settings.h"

namespace pearspar::benchlink {
namespace {

Settings parse_settings(const std::string& text) {
  return settings::read_settings(settings::values_of_lines(text));
}

// Bytes from hexadecimal digits; other characters are ignored.
Bytes parse_hex(const std::string& hex) {
  Bytes bytes;
  std::string digits;
  for (char c : hex)
    if (std::isxdigit(static_cast<unsigned char>(c))) digits += c;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return bytes;
}

Bytes make_frame(const std::string& records, std::uint32_t count) {
  Bytes body = parse_hex(records);
  Bytes frame(body.size() + 16);
  auto size = static_cast<std::uint32_t>(frame.size());
  double now = 9.5;
  std::memcpy(frame.data(), &size, 4);
  std::memcpy(frame.data() + 4, &now, 8);
  std::memcpy(frame.data() + 12, &count, 4);
  std::copy(body.begin(), body.end(), frame.begin() + 16);
  return frame;
}

template <typename T>
T only_event(const std::string& record) {
  Batch batch = decode_batch(make_frame(record, 1));
  return std::get<T>(std::get<Event>(batch.records.at(0)));
}

Bytes encode_action(const Action& action) {
  ReplyWriter reply;
  reply.add_action(action);
  Bytes bytes = reply.finish();
  return Bytes(bytes.begin() + 8, bytes.end());
}

double parse_double(const std::string& hex) {
  Bytes bytes = parse_hex(hex);
  double value;
  std::memcpy(&value, bytes.data(), 8);
  return value;
}

TEST(Codec, EmptyBatchAndReply) {
  Batch batch = decode_batch(parse_hex("10000000 508d976e12d32040 00000000"));
  EXPECT_DOUBLE_EQ(batch.now.time_since_epoch().count(), parse_double("508d976e12d32040"));
  EXPECT_TRUE(batch.records.empty());
  EXPECT_EQ(ReplyWriter().finish(), parse_hex("00000000 08000000"));
}

TEST(Codec, BatchForTwoInstances) {
  Batch batch =
      decode_batch(parse_hex("59000000 508d976e12d32040 05000000 0c 03000000"
                             "03 c4913a5d 0000 00000000 640ad2557c3bf091 cba145b6f34d2140 fa7e6abc7493883f "
                             "00005643 00000000 0000003e 0100"
                             "07 4d00000000000000 0c 05000000 06 192b6f0e"));
  ASSERT_EQ(batch.records.size(), 5u);
  EXPECT_EQ(std::get<InstanceSelected>(batch.records[0]).instance, 3u);
  auto part = std::get<PartArrived>(std::get<Event>(batch.records[1]));
  EXPECT_EQ(part.part, 0x5d3a91c4u);
  EXPECT_EQ(part.ordinal, 214u);
  EXPECT_EQ(part.shard, 0);
  EXPECT_DOUBLE_EQ(part.weight, 0.125);
  EXPECT_EQ(part.key, 0x91f03b7c55d20a64u);
  EXPECT_TRUE(part.cost_known);
  EXPECT_DOUBLE_EQ(part.cost.count(), parse_double("fa7e6abc7493883f"));
  EXPECT_EQ(std::get<TimerFired>(std::get<Event>(batch.records[2])).token, 77u);
  EXPECT_EQ(std::get<InstanceSelected>(batch.records[3]).instance, 5u);
  EXPECT_EQ(std::get<ClientDisconnected>(std::get<Event>(batch.records[4])).query, 0x0e6f2b19u);
}

TEST(Codec, ReplyForTwoInstances) {
  ReplyWriter reply;
  reply.begin_instance(3);
  reply.add_action(SendPart{0x5d3a91c4, 0x03124a07, Duration(parse_double("7b14ae47e17ab43f"))});
  reply.add_action(SetTimer{Duration(0.5), 77});
  reply.begin_instance(5);
  reply.add_action(LogLine{"two servers known"});
  EXPECT_EQ(reply.finish(), parse_hex("05000000 48000000 06 03000000 09 c4913a5d 074a1203 7b14ae47e17ab43f"
                                      "08 000000000000e03f 4d00000000000000 06 05000000"
                                      "0b 1100 74776f2073657276657273206b6e6f776e"));
}

TEST(Codec, EveryAction) {
  EXPECT_EQ(encode_action(AnswerQuery{0x0e6f2b19, true}), parse_hex("07 192b6f0e 01"));
  EXPECT_EQ(encode_action(SendToPeer{0xffffffff, "hi 7"}), parse_hex("02 ffffffff 0400 68692037"));
  EXPECT_EQ(encode_action(FetchMembers{}), parse_hex("05"));
  EXPECT_EQ(encode_action(CancelAttempt{0x5d3a91c4, 0}), parse_hex("0d c4913a5d 00"));
  EXPECT_EQ(encode_action(FailQuery{0x0e6f2b19}), parse_hex("0a 192b6f0e"));
  EXPECT_EQ(encode_action(ProbeNode{0x2c9011f2}), parse_hex("03 f211902c"));
  EXPECT_EQ(encode_action(RefuseQuery{0x0e6f2b19, Duration(parse_double("000000000000d03f"))}),
            parse_hex("0c 192b6f0e 000000000000d03f"));
  EXPECT_EQ(encode_action(SubscribeMembers{true}), parse_hex("0e 01"));
  EXPECT_EQ(encode_action(DropIdleConnections{0x2c9011f2}), parse_hex("04 f211902c"));
  ReplyWriter crash;
  crash.add_crash("index out of range");
  Bytes reply = crash.finish();
  EXPECT_EQ(Bytes(reply.begin() + 8, reply.end()), parse_hex("01 1200 696e646578206f7574206f662072616e6765"));
}

TEST(Codec, EveryEvent) {
  Batch batch =
      decode_batch(make_frame("0b 00 02000000 074a1203 00 0000 0000 01 0000803f 0000000000000000"
                              "f211902c 01 0000 0000 01 0000c03f 6666666666661840"
                              "02 02 29000000 00",
                              2));
  auto list = std::get<MemberListStored>(batch.records[0]);
  ASSERT_EQ(list.members->size(), 2u);
  EXPECT_EQ(list.members->at(0).node, 0x03124a07u);
  EXPECT_FALSE(list.members->at(0).start_known);
  EXPECT_EQ(list.members->at(1).zone, 1);
  EXPECT_EQ(list.members->at(1).status, NodeStatus::ready);
  EXPECT_DOUBLE_EQ(list.members->at(1).rating, 1.5);
  EXPECT_TRUE(list.members->at(1).start_known);
  EXPECT_DOUBLE_EQ(list.members->at(1).started.time_since_epoch().count(), 6.1);
  auto changed = std::get<MemberListChanged>(batch.records[1]);
  EXPECT_EQ(changed.form, MemberListForm::saved);
  EXPECT_EQ(changed.version, 41u);

  auto head = only_event<StreamStarted>("04 c4913a5d 00 074a1203 8b6ce7fba9f1823f");
  EXPECT_EQ(head.node, 0x03124a07u);
  auto probe = only_event<ProbeEnded>("08 c7bab88d06f0563f 0100 f211902c 01 00000c43");
  EXPECT_EQ(probe.outcome, Outcome::ok);
  EXPECT_EQ(probe.report, std::vector<double>{140});
  auto peer = only_event<PeerMessage>("09 02000000 0400 68692037");
  EXPECT_EQ(peer.from, 2u);
  EXPECT_EQ(peer.payload, "hi 7");
  auto done = only_event<AttemptEnded>("05 c4913a5d 074a1203 8b6ce7fba9f1923f 0100 01 00 00");
  EXPECT_EQ(done.part, 0x5d3a91c4u);
  EXPECT_EQ(done.outcome, Outcome::ok);
  EXPECT_FALSE(done.part_open);
  EXPECT_TRUE(done.report.empty());
}

TEST(Codec, NegativeShardIsAQuery) {
  auto query = only_event<QueryArrived>(
      "03 01000000 0100 02000000 0000000000000000 0000000000002440 0000000000000000 0000803f 000080bf "
      "00008040 0600");
  EXPECT_EQ(query.query, 1u);
  EXPECT_EQ(query.cls, 1);
  EXPECT_EQ(query.tenant, 2);
  EXPECT_EQ(query.parts, 4);
  EXPECT_FALSE(query.cost_known);
  EXPECT_TRUE(query.repeat);
  EXPECT_TRUE(query.write);
}

TEST(Codec, MalformedFramesThrow) {
  Bytes good = make_frame("07 4d00000000000000", 1);
  EXPECT_NO_THROW(decode_batch(good));
  for (std::size_t size = 4; size < good.size(); ++size)
    EXPECT_THROW(decode_batch(std::span(good).first(size)), FrameError) << size;
  EXPECT_THROW(decode_batch(make_frame("07 4d00000000000000 00", 1)), FrameError);  // bytes left over
  EXPECT_THROW(decode_batch(make_frame("07 4d000000000000", 1)), FrameError);       // record cut short
  EXPECT_THROW(decode_batch(make_frame("63", 1)), FrameError);                      // unknown code
  EXPECT_THROW(decode_batch(make_frame("0b 00 ffffffff", 1)), FrameError);          // member list too long
  EXPECT_THROW(decode_batch(make_frame("0b 10 00000000", 1)), FrameError);     // member list number above 15
  EXPECT_THROW(decode_batch(make_frame("02 09 01000000 00", 1)), FrameError);  // unknown member list form
  EXPECT_THROW(decode_batch(make_frame("08 c7bab88d06f0563f 6300 f211902c 00", 1)), FrameError);
  Bytes huge = good;
  huge[3] = 0xff;
  EXPECT_THROW(declared_frame_size(huge), FrameError);
}

TEST(SettingsText, IgnoresUnknownSettings) {
  const std::string text =
      "balancers=2\nme=1\nzone=1\nclasses.count=1\nclasses.0.aim_s=2.0\nclasses.0.give_up_s=4.0\n"
      "classes.0.dedup_window_s=5.0\nclasses.0.effect=dedup\nclasses.0.late_worth=0.3\nclasses.0.name=x\n"
      "classes.0.worth=5.0\ncounted_by=work\nlimits.cancel=true\nlimits.max_open=159\nlimits.peers=false\n"
      "limits.probes=true\nlimits.retry_after=true\nlimits.second_copies=false\nlimits.try_limit=4\n"
      "registry_mode=ask\nsafety.fall_multiple=2.0\nsafety.fall_s=3.0\nsafety.start_capacity=0.23\n"
      "safety.warm_within_s=16.0\nsafety.min_extra=3\nsafety.further_ratio=0.1\nsafety.resend_span_s=4\n"
      "specifics.class_floor=0.4\nspecifics.class_partial=0.95\nspecifics.fetch_parts=2\nspecifics.in_a_row="
      "1\n"
      "specifics.parts_a_call=8\nspecifics.sets=4\nspecifics.slabs=16\nspecifics.whole_at=0.9\n"
      "stats.fields=throughput,strange\nstats.source=piggyback\nweights=live\nno.such.key=whatever\n";
  Settings s = parse_settings(text);
  EXPECT_EQ(s.broker_index, 1);
  EXPECT_EQ(s.classes.at(0).idempotency, Idempotency::deduplicated);
  EXPECT_EQ(s.classes.at(0).fetch_parts, 2);
  EXPECT_DOUBLE_EQ(s.classes.at(0).whole_coverage, 0.9);
  EXPECT_TRUE(s.has_retry_budget);
  EXPECT_DOUBLE_EQ(s.retry_budget_ratio, 0.1);
  EXPECT_TRUE(s.membership_by_subscription);
  EXPECT_TRUE(s.worth_by_work);
  EXPECT_FALSE(s.may_hedge);
  EXPECT_EQ(s.report_source, ReportSource::piggyback);
  EXPECT_EQ(s.rating, RatingKind::live);
  ASSERT_EQ(s.report_fields.size(), 2u);
  EXPECT_EQ(s.report_fields[0], ReportField::throughput);
  EXPECT_EQ(s.report_fields[1], ReportField::unknown);

  EXPECT_THROW(parse_settings(""), settings::SettingsError);
  EXPECT_THROW(parse_settings("no equals sign"), settings::SettingsError);
  EXPECT_THROW(parse_settings("me=1"), settings::SettingsError);
  EXPECT_THROW(parse_settings(text + "me=x\n"), settings::SettingsError);
  EXPECT_THROW(parse_settings(text + "classes.0.effect=strange\n"), settings::SettingsError);
  EXPECT_THROW(parse_settings(text + "classes.count=2\n"), settings::SettingsError);
  EXPECT_THROW(parse_settings(text + "limits.cancel=maybe\n"), settings::SettingsError);
  EXPECT_THROW(parse_settings(text + "specifics.sets=0\n"), settings::SettingsError);
}

}  // namespace
}  // namespace pearspar::benchlink
