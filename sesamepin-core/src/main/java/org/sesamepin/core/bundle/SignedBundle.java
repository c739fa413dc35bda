package org.sesamepin.core.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.Map;
import org.sesamepin.core.error.SesamepinException;
import org.sesamepin.core.error.Step;

/**
 * The text of a bundle with an operator's Ed25519 signature. The signed text includes the version,
 * so the signature is not valid for another version, and a node may accept the value from any peer.
 *
 * @param text the bundle in INI format
 * @param operator name of the operator who signed the text
 * @param signature signature of the UTF-8 encoded text, in Base64
 */
public record SignedBundle(String text, String operator, String signature) {
    private static final String ALGORITHM = "Ed25519";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Signs {@code text} with a private key given in Base64 of its PKCS #8 encoding. */
    public static SignedBundle sign(String text, String operator, String privateKey)
            throws SesamepinException {
        try {
            byte[] encoded = Base64.getDecoder().decode(privateKey.trim());
            PrivateKey key =
                    KeyFactory.getInstance(ALGORITHM)
                            .generatePrivate(new PKCS8EncodedKeySpec(encoded));
            Signature signer = Signature.getInstance(ALGORITHM);
            signer.initSign(key);
            signer.update(text.getBytes(StandardCharsets.UTF_8));
            String signature = Base64.getEncoder().encodeToString(signer.sign());
            return new SignedBundle(text, operator, signature);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw error(operator, "cannot sign the bundle: " + e.getMessage());
        }
    }

    /**
     * Verifies the signature and parses the text.
     *
     * @param operatorKeys public keys by operator, in Base64 of their X.509 encoding
     * @throws SesamepinException if the operator is unknown, the signature is invalid or the bundle
     *     has problems
     */
    public Bundle verifyAndParse(Map<String, String> operatorKeys) throws SesamepinException {
        String publicKey = operatorKeys.get(operator);
        if (publicKey == null) {
            throw error(operator, "the bundle is signed by an unknown operator");
        }
        try {
            byte[] encoded = Base64.getDecoder().decode(publicKey.trim());
            PublicKey key =
                    KeyFactory.getInstance(ALGORITHM)
                            .generatePublic(new X509EncodedKeySpec(encoded));
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(key);
            verifier.update(text.getBytes(StandardCharsets.UTF_8));
            if (!verifier.verify(Base64.getDecoder().decode(signature))) {
                throw error(operator, "the signature of the bundle does not match its text");
            }
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw error(operator, "cannot verify the signature of the bundle: " + e.getMessage());
        }
        return BundleParser.parse("bundle", text);
    }

    /** Returns the JSON form that the platform's store holds. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parses the JSON form that the platform's store holds. */
    public static SignedBundle fromJson(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, SignedBundle.class);
        } catch (JsonProcessingException e) {
            throw error("store", "cannot parse the signed bundle: " + e.getOriginalMessage());
        }
    }

    private static SesamepinException error(String peer, String message) {
        return new SesamepinException(Step.LOAD_BUNDLE, peer, message);
    }
}
