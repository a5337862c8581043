#include "node/sub_answer_parser.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

#include "core/json.h"

namespace snipefall {

namespace {

constexpr std::string_view SPACE = " \t\r\n";

/** Read position in a text that is known to be valid JSON. */
class json_cursor
{
public:
    explicit json_cursor(std::string_view text)
        : m_text(text)
    {
        skipSpace();
    }

    /** Returns the next character that isn't white space, or '\0' at the end. */
    char next() const { return m_position < m_text.size() ? m_text[m_position] : '\0'; }

    void skipCharacter()
    {
        ++m_position;
        skipSpace();
    }

    /** Returns the text of the next value and advances past it. */
    std::string_view takeValue()
    {
        const std::size_t begin = m_position;
        if (next() == '"') {
            skipString();
        } else if (next() == '{' || next() == '[') {
            skipNested();
        } else {
            m_position = std::min(m_text.find_first_of(",]} \t\r\n", m_position), m_text.size());
        }
        const std::string_view value = m_text.substr(begin, m_position - begin);
        skipSpace();
        return value;
    }

private:
    void skipSpace() { m_position = std::min(m_text.find_first_not_of(SPACE, m_position), m_text.size()); }

    void skipString()
    {
        for (++m_position; m_text[m_position] != '"'; ++m_position) {
            m_position += m_text[m_position] == '\\' ? 1 : 0;
        }
        ++m_position;
    }

    void skipNested()
    {
        int depth = 0;
        do {
            const char c = m_text[m_position];
            if (c == '"') {
                skipString();
                continue;
            }
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
            ++m_position;
        } while (depth > 0);
    }

    std::string_view m_text;
    std::size_t m_position = 0;
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
Number numberOf(std::string_view value, Number fallback)
{
    Number number = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    return parsed.ec == std::errc() && parsed.ptr == value.data() + value.size() ? number : fallback;
}

} // namespace

std::optional<sub_answer> parseSubAnswer(const std::string &text, sub_request_id sub, std::string_view name)
{
    if (!json::accept(text.data(), text.data() + text.size())) {
        return std::nullopt;
    }
    json_cursor cursor(text);
    if (cursor.next() != '{') {
        return std::nullopt;
    }
    sub_answer answer{sub, shard_index(UINT32_MAX), snapshot_id(), 0, "[]"};
    std::string answeredName;
    cursor.skipCharacter();
    while (cursor.next() == '"') {
        const std::string member = stringOf(cursor.takeValue());
        cursor.skipCharacter(); // The colon.
        const std::string_view value = cursor.takeValue();
        if (member == "sub_id") {
            answeredName = stringOf(value);
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
            // query_service concatenates the results of all shards as text and skips "[]", so an array of only white space must become "[]".
            const bool empty = value.find_first_not_of(SPACE, 1) == value.size() - 1;
            answer.results = empty ? "[]" : std::string(value);
        }
        if (cursor.next() == ',') {
            cursor.skipCharacter();
        }
    }
    return answeredName == name ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace snipefall
