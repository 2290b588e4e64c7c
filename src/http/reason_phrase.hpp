// Reason phrases of the status codes that this system generates itself.
#ifndef DOTTERELLOCK_HTTP_REASON_PHRASE_HPP
#define DOTTERELLOCK_HTTP_REASON_PHRASE_HPP

namespace dotterellock
{

inline char const* reason_phrase(unsigned status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 413:
        return "Content Too Large";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "Success" : "Error";
    }
}

} // namespace dotterellock

#endif
