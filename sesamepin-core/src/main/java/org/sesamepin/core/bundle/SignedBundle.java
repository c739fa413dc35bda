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
 * A bundle's text with an operator's Ed25519 signature over it. The text carries its version, so a
 * signature cannot be moved to another version, and a node may take the value from any peer.
 *
 * @param text the bundle in INI
 * @param operator name of the operator who signed
 * @param signature Base64 of the signature over the text in UTF-8
 */
public record SignedBundle(String text, String operator, String signature) {
    private static final String ALGORITHM = "Ed25519";
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Signs {@code text} with a private key in Base64 of its PKCS #8 form. */
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
            throw problem(operator, "cannot sign: " + e.getMessage());
        }
    }

    /**
     * Checks the signature against the operators' public keys (Base64 of the X.509 form, by name)
     * and parses the text.
     */
    public Bundle verifyAndParse(Map<String, String> operatorKeys) throws SesamepinException {
        String publicKey = operatorKeys.get(operator);
        if (publicKey == null) {
            throw problem(operator, "bundle signed by an unknown operator");
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
                throw problem(operator, "bundle's signature does not match its text");
            }
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw problem(operator, "cannot check the signature: " + e.getMessage());
        }
        return BundleParser.parse("bundle", text);
    }

    /** Returns the value as kept in the platform's store. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the value as kept in the platform's store. */
    public static SignedBundle fromJson(String json) throws SesamepinException {
        try {
            return JSON.readValue(json, SignedBundle.class);
        } catch (JsonProcessingException e) {
            throw problem("store", "not a signed bundle: " + e.getOriginalMessage());
        }
    }

    private static SesamepinException problem(String peer, String message) {
        return new SesamepinException(Step.LOAD_BUNDLE, peer, message);
    }
}
