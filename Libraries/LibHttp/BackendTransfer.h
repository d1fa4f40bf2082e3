#pragma once

#include <LibHttp/BackendClient.h>
#include <curl/curl.h>

namespace Peridot {

/// One libcurl transfer and the classification of its end. Reused for later requests.
class BackendTransfer
{
public:
    explicit BackendTransfer(const BackendClientSettings &settings);
    ~BackendTransfer();
    BackendTransfer(const BackendTransfer &) = delete;
    BackendTransfer &operator=(const BackendTransfer &) = delete;

    void prepare(BackendRequest request, BackendClient::Callback callback);
    /// Returns the result of the transfer and forgets the request.
    BackendAnswer finish(CURLcode code);

    CURL *handle() const { return m_easy; }
    BackendClient::Callback takeCallback() { return std::move(m_callback); }

private:
    void setConstantOptions();
    static int onBeforeRequest(void *self, char *, char *, int, int);
    static std::size_t onHeader(char *data, std::size_t, std::size_t size, void *self);
    static std::size_t onBody(char *data, std::size_t, std::size_t size, void *self);

    void setMethodAndBody();
    void setHeaders();
    void headerLine(std::string_view line);
    AttemptStatus classify(CURLcode code) const;
    AttemptStatus classifyAnswer() const;

    const BackendClientSettings &m_settings;
    CURL *m_easy;
    curl_slist *m_headerList = nullptr;
    BackendRequest m_request;
    BackendClient::Callback m_callback;
    BackendAnswer m_answer;
    int m_sends = 0; ///< calls of the function that libcurl runs before it sends a request
    std::size_t m_answerBytes = 0;
    bool m_headersEnded = false;
    bool m_delimited = false; ///< the answer states where its body ends
};

} // namespace Peridot
