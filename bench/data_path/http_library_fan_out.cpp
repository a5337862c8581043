#include "bench/data_path/http_library_fan_out.h"

#include <algorithm>
#include <stdexcept>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

std::string subRequestBody(std::size_t shard)
{
    return R"({"service":"desk","snapshot":"snapshot-1","shard":)" + std::to_string(shard)
        + R"(,"sub_id":"node-1-1700000000000-1048576","query":{"text":"maple bowl blank"},"deadline_ms":9999})";
}

namespace {

/** The HTTP client of one server; keeps the body of its last response. */
class bare_client : public cxxtools::Connectable
{
public:
    bare_client(cxxtools::Selector &selector, const std::string &host, unsigned short port, std::size_t &pending)
        : m_client(selector, host, port)
        , m_pending(pending)
    {
        cxxtools::connect(m_client.bodyAvailable, *this, &bare_client::onBody);
        cxxtools::connect(m_client.replyFinished, *this, &bare_client::onFinished);
    }

    void send(std::size_t shard)
    {
        m_answer.clear();
        m_request.clear();
        m_request.url("/shards/query");
        m_request.method("POST");
        m_request.setHeader("Content-Type", "application/json");
        m_request.setHeader("Request-Id", "bench");
        m_request.body() << subRequestBody(shard);
        m_client.beginExecute(m_request);
    }

private:
    std::size_t onBody(cxxtools::http::Client &client)
    {
        std::streambuf *buffer = client.in().rdbuf();
        std::size_t count = 0;
        while (buffer->in_avail() > 0) {
            char bytes[4096];
            const std::streamsize read = buffer->sgetn(bytes, std::min<std::streamsize>(buffer->in_avail(), sizeof bytes));
            if (read <= 0) {
                break;
            }
            m_answer.append(bytes, static_cast<std::size_t>(read));
            count += static_cast<std::size_t>(read);
        }
        return count;
    }

    void onFinished(cxxtools::http::Client &client)
    {
        client.endExecute();
        --m_pending;
    }

    cxxtools::http::Client m_client;
    cxxtools::http::Request m_request;
    std::string m_answer;
    std::size_t &m_pending;
};

} // namespace

struct http_library_fan_out::parts
{
    cxxtools::Selector selector;
    std::vector<std::unique_ptr<bare_client>> clients;
    std::size_t pending = 0;
};

http_library_fan_out::http_library_fan_out(const std::vector<std::string> &addresses)
    : m_parts(std::make_unique<parts>())
{
    for (const std::string &address : addresses) {
        const std::size_t colon = address.find(':');
        m_parts->clients.push_back(std::make_unique<bare_client>(
            m_parts->selector, address.substr(0, colon), static_cast<unsigned short>(std::stoul(address.substr(colon + 1))), m_parts->pending));
    }
}

http_library_fan_out::~http_library_fan_out() = default;

void http_library_fan_out::query()
{
    m_parts->pending = m_parts->clients.size();
    for (std::size_t i = 0; i < m_parts->clients.size(); ++i) {
        m_parts->clients[i]->send(i);
    }
    while (m_parts->pending > 0) {
        if (!m_parts->selector.wait(10000)) {
            throw std::runtime_error("no activity on the connections to the servers for 10 s while waiting for responses");
        }
    }
}
