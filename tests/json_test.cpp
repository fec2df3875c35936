#include "json/json.h"

#include <gtest/gtest.h>

namespace pearspar::json {
namespace {

TEST(Json, ValuesReferenceTheSourceText) {
  std::string text = R"( {"a":[1,-2.5e1,true,null],"b":{"c":"x\ny"},"d":"plain"} )";
  Value root = parse(text);
  ASSERT_TRUE(root.is(Kind::object));
  const Value* a = root.find("a");
  ASSERT_NE(a, nullptr);
  ASSERT_EQ(a->items.size(), 4u);
  EXPECT_EQ(a->items[0].integer(), 1);
  EXPECT_EQ(a->items[1].number(), -25.0);
  EXPECT_EQ(a->items[1].integer(), -25);
  EXPECT_EQ(a->items[2].boolean(), true);
  EXPECT_TRUE(a->items[3].is(Kind::null));
  EXPECT_EQ(root.find("b")->find("c")->text(), "x\ny");
  std::string_view plain = root.find("d")->raw;
  EXPECT_GE(plain.data(), text.data());
  EXPECT_LT(plain.data(), text.data() + text.size());
  EXPECT_EQ(root.find("nothing"), nullptr);
}

TEST(Json, AccessorsReturnNulloptForOtherKinds) {
  EXPECT_FALSE(parse("\"1\"").number());
  EXPECT_FALSE(parse("1").text());
  EXPECT_FALSE(parse("1").boolean());
  EXPECT_FALSE(parse("1.5").integer());
  EXPECT_FALSE(parse("1e400").number());
  EXPECT_EQ(parse("3.0").integer(), 3);
}

TEST(Json, EscapesAreResolved) {
  EXPECT_EQ(parse(R"("\"\\\/\b\f\n\r\t")").text(), "\"\\/\b\f\n\r\t");
  EXPECT_EQ(parse(R"("\u0041\u00e9\u20ac\ud83d\ude00")").text(), "A\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80");
  EXPECT_EQ(parse(R"("\ud83dx")").text(), "\xef\xbf\xbdx");  // unpaired surrogate
}

TEST(Json, InvalidJsonIsRejected) {
  for (const char* bad :
       {"",           " ",     "{",   "[",      "[1",      "[1,]",      "{\"a\"}",     "{\"a\":}",
        "{\"a\":1,}", "{a:1}", "tru", "nul",    "+1",      "01",        "1.",          ".5",
        "1e",         "-",     "\"",  "\"\\",   "\"\\x\"", "\"\\u12\"", "\"\\u12g4\"", "\"a\nb\"",
        "1 2",        "[1}",   "{]",  "\"a\"b", "[1 2]",   "NaN",       "Infinity"})
    EXPECT_THROW(parse(bad), ParseError) << bad;
}

TEST(Json, NestingDepthIsLimited) {
  EXPECT_NO_THROW(parse("[[[[]]]]", 4));
  EXPECT_THROW(parse("[[[[[]]]]]", 4), ParseError);
  EXPECT_THROW(parse(std::string(100000, '[')), ParseError);
  EXPECT_NO_THROW(parse("[[],[],[],[],[]]", 2));  // siblings do not add depth
}

TEST(Json, QuotedTextRoundTrips) {
  std::string all;
  for (int c = 0; c < 256; ++c) all.push_back(static_cast<char>(c));
  std::string quoted;
  append_quoted(quoted, all);
  EXPECT_EQ(parse(quoted).text(), all);
}

}  // namespace
}  // namespace pearspar::json
