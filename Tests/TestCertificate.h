#pragma once

#include <filesystem>
#include <string>

/// Self-signed certificate for 127.0.0.1 in files of a temporary directory, removed at the end.
class TestCertificate
{
public:
    TestCertificate();
    ~TestCertificate();
    TestCertificate(const TestCertificate &) = delete;
    TestCertificate &operator=(const TestCertificate &) = delete;

    std::string certificateFile() const { return (m_directory / "certificate.pem").string(); }
    std::string keyFile() const { return (m_directory / "key.pem").string(); }
    /// Overwrites both files with a new key and a certificate of this serial number.
    void write(long serial) const;
    /// Overwrites the key file with a key that the certificate does not contain.
    void writeOtherKey() const;
    /// Overwrites the certificate file with text that is no certificate.
    void writeGarbage() const;

private:
    std::filesystem::path m_directory;
};
