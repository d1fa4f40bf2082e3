#pragma once

#include <LibHttp/InputBudget.h>
#include <atomic>
#include <memory>
#include <sys/socket.h>
#include <utility>

namespace Peridot {

/// One connection in an InputBudget. The budget closes it by ending the input of its socket, so
/// that a pending read or write fails and RESTinio closes the connection on its own thread.
class BudgetEntry
{
public:
    BudgetEntry(std::shared_ptr<InputBudget> budget, InputBudget::ServerId server,
                std::uint64_t connection, int socket)
        : m_budget(std::move(budget)), m_server(server), m_connection(connection)
    {
        // The socket is open as long as the budget knows the connection.
        m_budget->connectionOpened(server, connection, [this, socket](bool answersDue) {
            m_closedByBudget = true;
            m_refusable = !answersDue;
            ::shutdown(socket, answersDue ? SHUT_RDWR : SHUT_RD);
        });
    }

    ~BudgetEntry() { leave(); }
    BudgetEntry(const BudgetEntry &) = delete;
    BudgetEntry &operator=(const BudgetEntry &) = delete;

    const std::shared_ptr<InputBudget> &budget() const { return m_budget; }
    void inputReceived(std::size_t bytes)
    {
        m_budget->inputReceived(m_server, m_connection, bytes);
    }

    /// To be called before the socket is closed. Returns whether the budget has closed the
    /// connection while nothing of it was in handling, so that a refusal is due.
    bool leave()
    {
        m_budget->connectionClosed(m_server, m_connection);
        return m_closedByBudget && std::exchange(m_refusable, false);
    }

private:
    std::shared_ptr<InputBudget> m_budget;
    InputBudget::ServerId m_server;
    std::uint64_t m_connection;
    // Written with the budget locked, and read after connectionClosed(), which locks it, too.
    bool m_closedByBudget = false;
    bool m_refusable = false;
};

} // namespace Peridot
