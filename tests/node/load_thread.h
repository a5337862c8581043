#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "tests/node/test_site.h"

namespace snipefall {

/** Sends queries to one node until stop() is called, and counts the responses by result. */
class load_thread
{
public:
    load_thread(test_site &site, std::string node)
        : m_thread([this, &site, node = std::move(node)] {
            while (!m_stop) {
                const test_site::answer answer = site.query(node);
                ++(answer.status == 0 ? missingResponses : answer.status == 200 ? answered : refused);
                if (answer.status == 200 && !test_site::labelMatchesResults(answer.body)) {
                    ++mislabeledAnswers;
                }
            }
        })
    {
    }

    ~load_thread() { stop(); }

    void stop()
    {
        m_stop = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /** Waits for more than @p count further responses with status 200. Returns false if they take longer than test_site::waitFor() allows. */
    bool waitForAnswers(int count = 20) const
    {
        const int before = answered;
        return test_site::waitFor([&] { return answered > before + count; });
    }

    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> missingResponses{0};
    std::atomic<int> mislabeledAnswers{0};

private:
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace snipefall
