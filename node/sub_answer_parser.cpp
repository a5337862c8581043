#include "node/sub_answer_parser.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "core/json.h"

namespace snipefall {

namespace {

constexpr std::string_view SPACE = " \t\r\n";

/** Walks over a text that is known to be valid JSON. */
class json_walker
{
public:
    explicit json_walker(std::string_view text)
        : m_text(text)
    {
        skipSpace();
    }

    /** The next character that is no white space. */
    char next() const { return m_at < m_text.size() ? m_text[m_at] : '\0'; }

    void skipOne()
    {
        ++m_at;
        skipSpace();
    }

    /** The text of the next value. */
    std::string_view takeValue()
    {
        const std::size_t begin = m_at;
        if (next() == '"') {
            skipString();
        } else if (next() == '{' || next() == '[') {
            skipNested();
        } else {
            m_at = std::min(m_text.find_first_of(",]} \t\r\n", m_at), m_text.size());
        }
        const std::string_view value = m_text.substr(begin, m_at - begin);
        skipSpace();
        return value;
    }

private:
    void skipSpace() { m_at = std::min(m_text.find_first_not_of(SPACE, m_at), m_text.size()); }

    void skipString()
    {
        for (++m_at; m_text[m_at] != '"'; ++m_at) {
            m_at += m_text[m_at] == '\\' ? 1 : 0;
        }
        ++m_at;
    }

    void skipNested()
    {
        int depth = 0;
        do {
            const char c = m_text[m_at];
            if (c == '"') {
                skipString();
                continue;
            }
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
            ++m_at;
        } while (depth > 0);
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

std::string stringOf(std::string_view value)
{
    if (value.front() != '"') {
        return {};
    }
    if (value.find('\\') == std::string_view::npos) {
        return std::string(value.substr(1, value.size() - 2));
    }
    return json::parse(value).get<std::string>();
}

template <typename Number>
Number numberOf(std::string_view value, Number otherwise)
{
    Number number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == value.data() + value.size() ? number : otherwise;
}

} // namespace

std::optional<sub_answer> parseSubAnswer(const std::string &text, sub_request_id sub, std::string_view name)
{
    if (!json::accept(text.data(), text.data() + text.size())) {
        return std::nullopt;
    }
    json_walker walker(text);
    if (walker.next() != '{') {
        return std::nullopt;
    }
    sub_answer answer{sub, shard_index(UINT32_MAX), snapshot_id(), 0, "[]"};
    std::string named;
    walker.skipOne();
    while (walker.next() == '"') {
        const std::string member = stringOf(walker.takeValue());
        walker.skipOne(); // The colon.
        const std::string_view value = walker.takeValue();
        if (member == "sub_id") {
            named = stringOf(value);
        } else if (member == "shard") {
            answer.shard = shard_index(numberOf<std::uint32_t>(value, UINT32_MAX));
        } else if (member == "snapshot") {
            answer.snapshot = snapshot_id(stringOf(value));
        } else if (member == "items_seen") {
            answer.itemsSeen = numberOf<std::uint64_t>(value, 0);
        } else if (member == "results") {
            if (value.front() != '[') {
                return std::nullopt;
            }
            // The results of all shards are joined as text, where an array of white space must count as empty.
            const bool empty = value.find_first_not_of(SPACE, 1) == value.size() - 1;
            answer.results = empty ? "[]" : std::string(value);
        }
        if (walker.next() == ',') {
            walker.skipOne();
        }
    }
    return named == name ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace snipefall
