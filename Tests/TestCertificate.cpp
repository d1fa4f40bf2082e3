#include "TestCertificate.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <stdexcept>

namespace {

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

constexpr long validSeconds = 3600;

Key makeKey()
{
    return {EVP_EC_gen("P-256"), EVP_PKEY_free};
}

Certificate makeCertificate(EVP_PKEY *key, long serial)
{
    Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -validSeconds);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), validSeconds);
    X509_NAME *name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_EXTENSION *address
        = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
    X509_add_ext(certificate.get(), address, -1);
    X509_EXTENSION_free(address);
    X509_set_pubkey(certificate.get(), key);
    X509_sign(certificate.get(), key, EVP_sha256());
    return certificate;
}

void writeKey(EVP_PKEY *key, const std::string &path)
{
    const File file(std::fopen(path.c_str(), "w"), std::fclose);
    PEM_write_PrivateKey(file.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
}

} // namespace

TestCertificate::TestCertificate()
{
    std::string pattern
        = (std::filesystem::temp_directory_path() / "peridot-certificate-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary directory");
    m_directory = pattern;
    write(1);
}

TestCertificate::~TestCertificate()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

void TestCertificate::write(long serial) const
{
    const Key key = makeKey();
    const Certificate certificate = makeCertificate(key.get(), serial);
    const File file(std::fopen(certificateFile().c_str(), "w"), std::fclose);
    PEM_write_X509(file.get(), certificate.get());
    writeKey(key.get(), keyFile());
}

void TestCertificate::writeOtherKey() const
{
    writeKey(makeKey().get(), keyFile());
}

void TestCertificate::writeGarbage() const
{
    std::ofstream(certificateFile()) << "no certificate\n";
}
