#include "SelfSigned.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <memory>

namespace sycamore::operators {

namespace {

std::string textOf(BIO* bio)
{
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);
  return { data, static_cast<std::size_t>(size) };
}

void setNames(X509* certificate, const std::string& name)
{
  X509_NAME* subject = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(
    subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(certificate, subject);
  const std::string alternative = "DNS:" + name;
  X509_EXTENSION* extension =
    X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, alternative.c_str());
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

} // namespace

SelfSigned makeSelfSigned(const std::string& name)
{
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
  X509_set_version(certificate.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
  X509_set_pubkey(certificate.get(), key.get());
  setNames(certificate.get(), name);
  X509_sign(certificate.get(), key.get(), EVP_sha256());

  const std::unique_ptr<BIO, decltype(&BIO_free_all)> certificateText(BIO_new(BIO_s_mem()),
                                                                      BIO_free_all);
  const std::unique_ptr<BIO, decltype(&BIO_free_all)> keyText(BIO_new(BIO_s_mem()), BIO_free_all);
  PEM_write_bio_X509(certificateText.get(), certificate.get());
  PEM_write_bio_PrivateKey(keyText.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  return { textOf(certificateText.get()), textOf(keyText.get()) };
}

} // namespace sycamore::operators
